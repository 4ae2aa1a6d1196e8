#include "tanagerstall/request/tanagerstall_forwarded_request.hpp"

#include "tanagerstall/version/tanagerstall_host_name.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace tanagerstall {

namespace {

/// A prompt with more parts counts as one without shared parts.
constexpr std::size_t kMaxSharedParts = 64;

template<class Number>
std::optional<Number>
ReadNumber(std::string_view aText, int aBase = 10)
{
  Number number{};
  auto end = aText.data() + aText.size();
  auto read = std::from_chars(aText.data(), end, number, aBase);
  if (aText.empty() || read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return number;
}

/// Returns the names of the header fields that the Connection header lists.
std::vector<std::string>
ConnectionHeaderNames(const HttpRequest& aRequest)
{
  std::vector<std::string> names;
  std::string_view rest = aRequest.Header("Connection");
  while (!rest.empty()) {
    auto comma = std::min(rest.find(','), rest.size());
    std::string_view name = rest.substr(0, comma);
    while (name.starts_with(' ')) {
      name.remove_prefix(1);
    }
    while (name.ends_with(' ')) {
      name.remove_suffix(1);
    }
    names.emplace_back(name);
    rest.remove_prefix(std::min(comma + 1, rest.size()));
  }
  return names;
}

/// Returns the ids of all prompt parts but the last, which is unique to the
/// request; nothing if one is malformed.
PromptParts
ReadSharedParts(std::string_view aParts)
{
  PromptParts ids;
  while (true) {
    auto comma = aParts.find(',');
    if (comma == std::string_view::npos) {
      return ids;
    }
    std::string_view part = aParts.substr(0, comma);
    auto id = ReadNumber<std::uint64_t>(part.substr(0, part.find(':')), 16);
    if (!id || ids.size() == kMaxSharedParts) {
      return {};
    }
    ids.push_back(*id);
    aParts.remove_prefix(comma + 1);
  }
}

/// Whether a status tells a caller that its request has not run and never will.
bool
PromisesNotRun(int aStatus)
{
  constexpr std::array kPromises{ 408, 421, 429, 503 };
  return std::find(kPromises.begin(), kPromises.end(), aStatus) !=
         kPromises.end();
}

bool
ContainsName(const std::vector<std::string>& aNames, std::string_view aName)
{
  return std::any_of(aNames.begin(), aNames.end(), [&](const auto& aIt) {
    return EqualsIgnoringCase(aIt, aName);
  });
}

} // namespace

PromptFacts
ReadPromptFacts(const HttpRequest& aRequest, const CallerProtocol& aProtocol)
{
  PromptFacts facts;
  std::string_view counts = aRequest.Header(aProtocol.tokenCounts_);
  auto comma = counts.find(',');
  if (comma != std::string_view::npos) {
    auto prompt = ReadNumber<std::uint64_t>(counts.substr(0, comma));
    auto output = ReadNumber<std::uint64_t>(counts.substr(comma + 1));
    if (prompt && output) {
      facts.promptTokens_ = *prompt;
      facts.maxOutputTokens_ = *output;
    }
  }
  facts.sharedParts_ = ReadSharedParts(aRequest.Header(aProtocol.promptParts_));
  return facts;
}

std::optional<Milliseconds>
ReadTimeRemaining(const HttpRequest& aRequest, const CallerProtocol& aProtocol)
{
  auto value =
    ReadNumber<std::uint64_t>(aRequest.Header(aProtocol.timeRemaining_));
  return value ? std::optional(Milliseconds(*value)) : std::nullopt;
}

std::string
HostOf(const HttpRequest& aRequest)
{
  return NormalizeHost(aRequest.Header("Host"));
}

bool
IsConnectionField(std::string_view aName)
{
  constexpr std::array<std::string_view, 11> kFields{ "Connection",
                                                      "Keep-Alive",
                                                      "Proxy-Connection",
                                                      "Proxy-Authenticate",
                                                      "Proxy-Authorization",
                                                      "TE",
                                                      "Trailer",
                                                      "Transfer-Encoding",
                                                      "Upgrade",
                                                      "Content-Length",
                                                      "Expect" };
  return std::any_of(kFields.begin(), kFields.end(), [&](auto aIt) {
    return EqualsIgnoringCase(aIt, aName);
  });
}

HttpRequest
MakeUpstreamRequest(const HttpRequest& aFrom,
                    const ForwardedRequest& aRequest,
                    const Replica& aReplica,
                    const CallerProtocol& aProtocol,
                    TimePoint aNow)
{
  HttpRequest request{ aFrom.method_, aFrom.target_, {}, aFrom.body_ };
  auto named = ConnectionHeaderNames(aFrom);
  bool isResumed = !aRequest.lastEventId_.empty();
  for (const auto& header : aFrom.headers_) {
    bool isSetByEntry =
      EqualsIgnoringCase(header.name_, aProtocol.timeRemaining_) ||
      EqualsIgnoringCase(header.name_, aProtocol.key_) ||
      EqualsIgnoringCase(header.name_, aProtocol.organisation_) ||
      EqualsIgnoringCase(header.name_, aProtocol.urgency_) ||
      ContainsName(aProtocol.reserved_, header.name_) ||
      EqualsIgnoringCase(header.name_, aProtocol.expectedReplica_);
    bool isReplaced =
      isResumed && EqualsIgnoringCase(header.name_, kLastEventId);
    if (!isSetByEntry && !isReplaced && !IsConnectionField(header.name_) &&
        !ContainsName(named, header.name_)) {
      request.headers_.push_back(header);
    }
  }
  auto left =
    std::chrono::duration_cast<Milliseconds>(aRequest.deadline_ - aNow).count();
  auto add = [&](const std::string& aName, std::string aValue) {
    request.headers_.push_back({ aName, std::move(aValue) });
  };
  add(aProtocol.timeRemaining_, std::to_string(std::max<long>(left, 1)));
  add(aProtocol.expectedReplica_, aReplica.id_);
  if (aRequest.organisation_ != nullptr) {
    add(aProtocol.organisation_, aRequest.organisation_->name_);
  }
  if (aRequest.route_->kind_ == RequestKind::Stream) {
    add(aProtocol.urgency_, std::to_string(aRequest.Rank()));
  }
  if (isResumed) {
    add(std::string(kLastEventId), aRequest.lastEventId_);
  }
  return request;
}

std::optional<HttpResponse>
MakeCallerResponse(HttpResponse aFrom, const Route& aRoute)
{
  // A caller sends a request again after a promise. That is harmless only if
  // the request may run twice.
  if (PromisesNotRun(aFrom.status_) && !aRoute.IsIdempotent()) {
    return std::nullopt;
  }
  HttpResponse response;
  response.status_ = aFrom.status_;
  response.body_ = std::move(aFrom.body_);
  for (auto& header : aFrom.headers_) {
    if (!IsConnectionField(header.name_)) {
      response.headers_.push_back(std::move(header));
    }
  }
  return response;
}

} // namespace tanagerstall
