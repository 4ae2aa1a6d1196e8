#include "tanagerstall/process/tanagerstall_entry_api.hpp"

#include "tanagerstall/request/tanagerstall_announcement.hpp"
#include "tanagerstall/request/tanagerstall_operator_api.hpp"
#include "tanagerstall/request/tanagerstall_outcome.hpp"

#include <array>
#include <boost/json.hpp>
#include <openssl/crypto.h>

namespace tanagerstall {

namespace json = boost::json;

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::chrono::seconds kMaxNotice{ 24 * 3600 };

/// Whether the request carries the bearer token. The comparison takes constant
/// time, so that its duration reveals nothing about the token.
bool
HasToken(const HttpRequest& aRequest, const std::string& aToken)
{
  auto header = aRequest.Header("Authorization");
  if (aToken.empty() || !header.starts_with(kBearer)) {
    return false;
  }
  header.remove_prefix(kBearer.size());
  return header.size() == aToken.size() &&
         CRYPTO_memcmp(header.data(), aToken.data(), aToken.size()) == 0;
}

/// Parses a reclaim notice such as {"notice_ms": 30000}, capped at
/// `kMaxNotice`. Returns nothing if it is malformed.
std::optional<Duration>
ReadNotice(const std::string& aBody)
{
  json::error_code error;
  json::value body = json::parse(aBody, error);
  if (error || !body.is_object()) {
    return std::nullopt;
  }
  const json::value* notice = body.as_object().if_contains("notice_ms");
  if (notice == nullptr || !notice->is_int64() || notice->get_int64() < 0) {
    return std::nullopt;
  }
  return std::min<Duration>(
    std::chrono::milliseconds(std::min<std::int64_t>(
      notice->get_int64(), std::chrono::milliseconds(kMaxNotice).count())),
    kMaxNotice);
}

} // namespace

EntryApi::EntryApi(std::string aEntryId,
                   Tokens aTokens,
                   Clock aClock,
                   Metrics& aMetrics,
                   Hooks aHooks)
  : entryId_(std::move(aEntryId))
  , tokens_(std::move(aTokens))
  , clock_(std::move(aClock))
  , metrics_(aMetrics)
  , hooks_(std::move(aHooks))
{
}

bool
EntryApi::Handle(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  std::string_view path = PathOf(request);
  struct Route
  {
    std::string_view path_;
    std::string_view method_;
    std::function<HttpResponse()> respond_;
  };
  const std::array<Route, 4> routes{ {
    { "/v1/entries", "GET", [&] { return Entries(); } },
    { "/v1/upstreams", "POST", [&] { return Announce(request); } },
    { "/v1/reclaim", "POST", [&] { return Reclaim(request); } },
    { "/metrics", "GET", [&] { return ShowMetrics(request); } },
  } };
  for (const auto& route : routes) {
    if (route.path_ == path) {
      aExchange.Respond(
        route.method_ == request.method_
          ? route.respond_()
          : RefusalResponse(405,
                            Outcome::NotRun,
                            "method_not_allowed",
                            "this path takes " + std::string(route.method_)));
      return true;
    }
  }
  return false;
}

HttpResponse
EntryApi::Entries() const
{
  auto snapshot = hooks_.snapshot_();
  json::array entries;
  for (const auto& entry : snapshot->entries_) {
    bool isSelfDraining = entry.id_ == entryId_ && hooks_.isDraining_();
    if (!entry.isDraining_ && !isSelfDraining) {
      entries.push_back({ { "id", entry.id_ },
                          { "address", entry.callerAddress_ },
                          { "failure_domain", entry.failureDomain_ },
                          { "region", entry.region_ },
                          { "weight", entry.weight_ } });
    }
  }
  auto timeToLive = snapshot->configuration_->policy_.discoveryTimeToLive_;
  json::object body{ { "entries", entries },
                     { "time_to_live_ms", timeToLive.count() },
                     { "control_reachable",
                       snapshot->IsControlReachable(clock_.Now()) } };
  return JsonResponse(200, json::serialize(body));
}

HttpResponse
EntryApi::Announce(const HttpRequest& aRequest)
{
  if (!tokens_.upstream_.empty() && !HasToken(aRequest, tokens_.upstream_)) {
    return RefusalResponse(401,
                           Outcome::NotRun,
                           "unknown_token",
                           "an announcement needs the upstream token");
  }
  auto upstream = ReadAnnouncement(aRequest.body_.Text());
  if (!upstream) {
    metrics_.Count(Counter::AnnouncementsMalformed);
    return RefusalResponse(
      400, Outcome::NotRun, "malformed_announcement", upstream.error());
  }
  const auto& services = hooks_.snapshot_()->configuration_->services_;
  bool isKnown = services.find(upstream->service_) != services.end();
  if (!isKnown) {
    metrics_.Count(Counter::AnnouncementsOfUnknownServices);
  }
  hooks_.announce_(*upstream);
  return JsonResponse(200,
                      json::serialize(json::object{
                        { "accepted", true }, { "service_known", isKnown } }));
}

HttpResponse
EntryApi::Reclaim(const HttpRequest& aRequest)
{
  if (!HasToken(aRequest, tokens_.operator_)) {
    return RefusalResponse(401,
                           Outcome::NotRun,
                           "unknown_token",
                           "a reclaim notice needs the operator token");
  }
  auto notice = ReadNotice(aRequest.body_.Text());
  if (!notice) {
    return RefusalResponse(400,
                           Outcome::NotRun,
                           "malformed_notice",
                           "the body has to be {\"notice_ms\": N}");
  }
  hooks_.reclaim_(*notice);
  return JsonResponse(200, "{\"draining\":true}");
}

HttpResponse
EntryApi::ShowMetrics(const HttpRequest& aRequest) const
{
  auto snapshot = hooks_.snapshot_();
  std::size_t upstreams = 0;
  for (const auto& [service, present] : snapshot->upstreams_) {
    upstreams += present.size();
  }
  Gauges gauges{ { "revision",
                   static_cast<double>(snapshot->configuration_->revision_) },
                 { "entries", static_cast<double>(snapshot->entries_.size()) },
                 { "upstreams", static_cast<double>(upstreams) },
                 { "draining", hooks_.isDraining_() ? 1.0 : 0.0 },
                 { "control_reachable",
                   snapshot->IsControlReachable(clock_.Now()) ? 1.0 : 0.0 } };
  return MetricsResponse(aRequest, metrics_.Collect(), gauges);
}

} // namespace tanagerstall
