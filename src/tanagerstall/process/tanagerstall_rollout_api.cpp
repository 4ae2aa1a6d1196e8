#include "tanagerstall/process/tanagerstall_rollout_api.hpp"

#include "tanagerstall/request/tanagerstall_operator_api.hpp"
#include "tanagerstall/request/tanagerstall_outcome.hpp"
#include "tanagerstall/version/tanagerstall_field_reader.hpp"

#include <boost/json.hpp>

namespace tanagerstall {

namespace json = boost::json;

namespace {

constexpr std::string_view kRolloutsPath = "/v1/rollouts";
constexpr std::string_view kRolloutPrefix = "/v1/rollouts/";

json::object
ToJson(const Rollout& aRollout)
{
  json::object rollout{
    { "service", aRollout.order_.service_ },
    { "version", aRollout.order_.version_ },
    { "state", NameOf(aRollout.state_) },
    { "id", aRollout.id_ },
    { "duration_ms", aRollout.order_.duration_.count() },
    { "ordered_at_ms", aRollout.order_.orderedAt_.time_since_epoch().count() }
  };
  if (aRollout.state_ != RolloutState::Running) {
    rollout["ended_at_ms"] = aRollout.endedAt_.time_since_epoch().count();
  }
  return rollout;
}

} // namespace

RolloutAnswer
AnswerTo(const RolloutResult& aResult)
{
  if (!aResult) {
    bool isUnknown = aResult.error().fault_ == RolloutFault::UnknownService;
    return { isUnknown ? 400 : 503,
             isUnknown ? "unknown_service" : "control_unavailable",
             aResult.error().detail_ };
  }
  switch (*aResult) {
    case RolloutReply::Accepted:
    case RolloutReply::Repeated:
      break;
    case RolloutReply::Conflict:
      return { 409,
               "rollout_running",
               "another roll-out of the service is running" };
    case RolloutReply::InForce:
      return { 409, "version_in_effect", "the version is already in effect" };
    case RolloutReply::Outdated:
      // A repetition is received later, so it may be accepted.
      return { 503,
               "control_unavailable",
               "a later order of the service was accepted in the meantime" };
  }
  return {};
}

RolloutApi::RolloutApi(RolloutApiHooks aHooks)
  : hooks_(std::move(aHooks))
{
}

std::optional<HttpResponse>
RolloutApi::Handle(HttpExchange& aExchange) const
{
  const HttpRequest& request = aExchange.Request();
  std::string_view path = PathOf(request);
  if (path == kRolloutsPath && request.method_ == "POST") {
    return Start(aExchange);
  }
  if (request.method_ != "GET") {
    return std::nullopt;
  }
  if (path == kRolloutsPath) {
    return List(aExchange.GetFiber(), std::nullopt);
  }
  if (path.starts_with(kRolloutPrefix)) {
    return List(aExchange.GetFiber(),
                std::string(path.substr(kRolloutPrefix.size())));
  }
  return std::nullopt;
}

tl::expected<RolloutOrder, std::string>
RolloutApi::ReadOrder(std::string_view aBody)
{
  json::error_code error;
  json::value body = json::parse(aBody, error);
  if (error || !body.is_object()) {
    return tl::make_unexpected("the body is not a JSON object");
  }
  FieldReader fields(body.get_object(), "");
  RolloutOrder order;
  order.service_ = fields.RequiredText("service");
  order.version_ = fields.RequiredText("version");
  auto max = static_cast<double>(kMaxRolloutDuration.count());
  order.duration_ = std::chrono::milliseconds(
    fields.RequiredInteger("duration_ms", { 1, max, "milliseconds" }));
  if (order.version_.empty() || order.version_.size() > kMaxVersionBytes) {
    fields.ReportError("version",
                       "must have 1 to " + std::to_string(kMaxVersionBytes) +
                         " bytes");
  }
  if (auto finished = fields.Finish(); !finished) {
    return tl::make_unexpected("\"" + finished.error().field_ + "\" " +
                               finished.error().message_);
  }
  return order;
}

HttpResponse
RolloutApi::Start(HttpExchange& aExchange) const
{
  auto order = ReadOrder(aExchange.Request().body_.Text());
  if (!order) {
    return RefusalResponse(
      400, Outcome::NotRun, "malformed_body", order.error());
  }
  RolloutAnswer answer = AnswerTo(hooks_.start_(aExchange.GetFiber(), *order));
  if (answer.status_ == 200) {
    return JsonResponse(200, "{}");
  }
  auto outcome = answer.status_ == 503 ? Outcome::Unknown : Outcome::NotRun;
  return RefusalResponse(
    answer.status_, outcome, answer.code_, answer.message_);
}

HttpResponse
RolloutApi::List(Fiber& aFiber, std::optional<std::string> aService) const
{
  auto rollouts = hooks_.read_(aFiber);
  if (!rollouts) {
    return ControlUnavailableResponse(rollouts.error());
  }
  if (aService) {
    auto it = rollouts->find(*aService);
    return it == rollouts->end()
             ? RefusalResponse(404,
                               Outcome::NotRun,
                               "unknown_rollout",
                               "the service has no roll-out")
             : JsonResponse(200, json::serialize(ToJson(it->second)));
  }
  json::array list;
  for (const auto& [service, rollout] : *rollouts) {
    list.push_back(ToJson(rollout));
  }
  return JsonResponse(200,
                      json::serialize(json::object{ { "rollouts", list } }));
}

} // namespace tanagerstall
