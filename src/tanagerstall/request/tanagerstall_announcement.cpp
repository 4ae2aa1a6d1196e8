#include "tanagerstall/request/tanagerstall_announcement.hpp"

#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <limits>

namespace tanagerstall {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxText = 200;
constexpr std::uint32_t kMaxCapacity = 1'000'000;
constexpr std::uint64_t kMaxMilliseconds = 24ULL * 3600 * 1000;

/// Reads the fields of an announcement and stores the first error.
class AnnouncementFields
{
public:
  explicit AnnouncementFields(const json::object& aBody)
    : body_(aBody)
  {
  }

  std::string Text(const char* aName)
  {
    const json::value* value = Require(aName);
    if (value == nullptr) {
      return "";
    }
    if (!value->is_string() || value->get_string().empty() ||
        value->get_string().size() > kMaxText || HasControl(*value)) {
      Fail(aName, "has to be a text of 1 to 200 printable characters");
      return "";
    }
    return json::value_to<std::string>(*value);
  }

  std::string OptionalText(const char* aName, std::string aDefault)
  {
    return body_.contains(aName) ? Text(aName) : std::move(aDefault);
  }

  std::uint64_t Number(const char* aName,
                       std::uint64_t aLeast,
                       std::uint64_t aMost)
  {
    const json::value* value = Require(aName);
    if (value == nullptr) {
      return aLeast;
    }
    json::error_code error;
    auto number = value->to_number<std::uint64_t>(error);
    if (error || value->is_double() || number < aLeast || number > aMost) {
      Fail(aName,
           "has to be a whole number from " + std::to_string(aLeast) + " to " +
             std::to_string(aMost));
      return aLeast;
    }
    return number;
  }

  double OptionalReal(const char* aName, double aMost, double aDefault)
  {
    const json::value* value = body_.if_contains(aName);
    if (value == nullptr) {
      return aDefault;
    }
    json::error_code error;
    auto number = value->to_number<double>(error);
    if (error || !std::isfinite(number) || number < 0.0 || number > aMost) {
      Fail(aName, "has to be a number from 0 to " + std::to_string(aMost));
      return aDefault;
    }
    return number;
  }

  bool Flag(const char* aName)
  {
    const json::value* value = body_.if_contains(aName);
    if (value == nullptr) {
      return false;
    }
    if (!value->is_bool()) {
      Fail(aName, "has to be true or false");
      return false;
    }
    return value->get_bool();
  }

  void Fail(const std::string& aName, const std::string& aProblem)
  {
    if (error_.empty()) {
      error_ = "field \"" + aName + "\" " + aProblem;
    }
  }

  bool Has(const char* aName) const { return body_.contains(aName); }
  const std::string& Error() const { return error_; }

private:
  const json::value* Require(const char* aName)
  {
    const json::value* value = body_.if_contains(aName);
    if (value == nullptr) {
      Fail(aName, "is missing");
    }
    return value;
  }

  static bool HasControl(const json::value& aValue)
  {
    const auto& text = aValue.get_string();
    return std::any_of(text.begin(), text.end(), [](char aLetter) {
      auto code = static_cast<unsigned char>(aLetter);
      return code < 0x20 || code == 0x7f;
    });
  }

  const json::object& body_;
  std::string error_;
};

UpstreamInfo
ReadFields(AnnouncementFields& aFields)
{
  constexpr auto kMaxNumber = std::numeric_limits<std::uint64_t>::max();
  UpstreamInfo upstream;
  upstream.service_ = aFields.Text("service");
  upstream.address_ = aFields.Text("address");
  upstream.failureDomain_ = aFields.Text("failure_domain");
  upstream.region_ = aFields.Text("region");
  upstream.incarnation_ = aFields.Number("incarnation", 0, kMaxNumber);
  upstream.sequence_ = aFields.Number("sequence", 0, kMaxNumber);
  upstream.capacity_ =
    static_cast<std::uint32_t>(aFields.Number("capacity", 1, kMaxCapacity));
  auto timeToLive = aFields.Number("time_to_live_ms", 1, kMaxMilliseconds);
  upstream.timeToLive_ =
    std::min(std::chrono::milliseconds(timeToLive), kMaxAnnouncementTimeToLive);
  upstream.instanceClass_ = aFields.OptionalText("instance_class", "");
  upstream.pricePerHour_ = aFields.OptionalReal("price_per_hour", 1e6, 0.0);
  upstream.reportedLoad_ = aFields.OptionalReal("load", 1.0, -1.0);
  upstream.checksFencing_ = aFields.Flag("checks_fencing");
  upstream.deduplicates_ = aFields.Flag("deduplicates");
  upstream.isLeaving_ = aFields.Flag("leaving");
  if (aFields.Has("reclaim_in_ms")) {
    upstream.reclaimIn_ = std::chrono::milliseconds(
      aFields.Number("reclaim_in_ms", 0, kMaxMilliseconds));
    upstream.isLeaving_ = true;
  }
  upstream.id_ =
    aFields.OptionalText("id", upstream.service_ + "@" + upstream.address_);
  auto address = ParseAddress(upstream.address_);
  if (!address || address->port_ == 0) {
    aFields.Fail("address", "has to be IP:port");
  }
  return upstream;
}

} // namespace

tl::expected<UpstreamInfo, std::string>
ReadAnnouncement(std::string_view aBody)
{
  json::error_code error;
  json::value body = json::parse({ aBody.data(), aBody.size() }, error);
  if (error || !body.is_object()) {
    return tl::make_unexpected(std::string("the body is not a JSON object"));
  }
  AnnouncementFields fields(body.get_object());
  UpstreamInfo upstream = ReadFields(fields);
  if (!fields.Error().empty()) {
    return tl::make_unexpected(fields.Error());
  }
  return upstream;
}

std::string
WriteAnnouncement(const UpstreamInfo& aUpstream)
{
  json::object body{ { "id", aUpstream.id_ },
                     { "service", aUpstream.service_ },
                     { "address", aUpstream.address_ },
                     { "failure_domain", aUpstream.failureDomain_ },
                     { "region", aUpstream.region_ },
                     { "price_per_hour", aUpstream.pricePerHour_ },
                     { "incarnation", aUpstream.incarnation_ },
                     { "sequence", aUpstream.sequence_ },
                     { "time_to_live_ms", aUpstream.timeToLive_.count() },
                     { "capacity", aUpstream.capacity_ },
                     { "checks_fencing", aUpstream.checksFencing_ },
                     { "deduplicates", aUpstream.deduplicates_ },
                     { "leaving", aUpstream.isLeaving_ } };
  if (!aUpstream.instanceClass_.empty()) {
    body["instance_class"] = aUpstream.instanceClass_;
  }
  if (aUpstream.reportedLoad_ >= 0.0) {
    body["load"] = aUpstream.reportedLoad_;
  }
  if (aUpstream.reclaimIn_) {
    body["reclaim_in_ms"] = aUpstream.reclaimIn_->count();
  }
  return json::serialize(body);
}

} // namespace tanagerstall
