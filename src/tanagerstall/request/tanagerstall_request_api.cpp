#include "tanagerstall/request/tanagerstall_request_api.hpp"

#include "tanagerstall/request/tanagerstall_ledger_client.hpp"
#include "tanagerstall/request/tanagerstall_outcome.hpp"

#include <boost/json.hpp>

namespace tanagerstall {

namespace json = boost::json;

namespace {

LedgerClient
MakeClient(const OperatorHooks& aHooks)
{
  auto bind = [](const OperatorHooks::GroupCall& aCall) {
    return [&aCall](Bytes aBytes, GroupCallback aDone) {
      aCall(GroupName::Ledger, std::move(aBytes), std::move(aDone));
    };
  };
  return { bind(aHooks.propose_), bind(aHooks.query_) };
}

/// Returns the value of a field in the query string, or "" if it is missing.
std::string
QueryField(const HttpRequest& aRequest, std::string_view aName)
{
  std::string_view rest = aRequest.target_;
  auto question = rest.find('?');
  while (question != std::string_view::npos) {
    rest.remove_prefix(question + 1);
    question = rest.find('&');
    std::string_view field = rest.substr(0, question);
    if (field.starts_with(aName) && field.substr(aName.size(), 1) == "=") {
      return std::string(field.substr(aName.size() + 1));
    }
  }
  return "";
}

std::optional<RequestState>
ParseState(std::string_view aText)
{
  for (auto state : { RequestState::Accepted,
                      RequestState::Granted,
                      RequestState::Answered,
                      RequestState::Unknown,
                      RequestState::Withdrawn }) {
    if (aText == ToString(state)) {
      return state;
    }
  }
  return std::nullopt;
}

json::object
ToJson(const LedgerRecord& aRecord)
{
  return { { "organisation", aRecord.organisation_ },
           { "key", aRecord.key_ },
           { "state", ToString(aRecord.state_) },
           { "service", aRecord.request_.service_ },
           { "method", aRecord.request_.method_ },
           { "target", aRecord.request_.target_ },
           { "upstream", aRecord.grant_.upstream_ },
           { "entry", aRecord.grant_.entry_ },
           { "reason", aRecord.reason_ },
           { "accepted_at_ms", aRecord.acceptedAt_.time_since_epoch().count() },
           { "changed_at_ms", aRecord.changedAt_.time_since_epoch().count() } };
}

/// Parses an operator's decision about a request; returns nullopt if the body
/// is malformed.
std::optional<LedgerCommand>
ReadSettlement(std::string_view aBody)
{
  try {
    json::value body = json::parse({ aBody.data(), aBody.size() });
    auto text = [&](const char* aName) {
      return json::value_to<std::string>(body.at(aName));
    };
    LedgerCommand command;
    command.organisation_ = text("organisation");
    command.key_ = text("key");
    command.action_ = body.at("ran").as_bool() ? LedgerAction::SettleRan
                                               : LedgerAction::SettleNotRun;
    if (command.action_ == LedgerAction::SettleRan) {
      command.answer_ = { static_cast<int>(
                            body.at("status").to_number<std::uint16_t>()),
                          text("content_type"),
                          text("body") };
    }
    return command;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// Whether the record already has the state that the command asks for, e.g.
/// because an earlier copy of it was applied.
bool
IsAlreadySettled(const LedgerCommand& aCommand, const LedgerRecord& aRecord)
{
  return aCommand.action_ == LedgerAction::SettleRan
           ? aRecord.state_ == RequestState::Answered &&
               aRecord.answer_ == aCommand.answer_
           : aRecord.state_ == RequestState::Withdrawn;
}

} // namespace

RequestApi::RequestApi(OperatorHooks aHooks)
  : hooks_(std::move(aHooks))
{
}

std::optional<HttpResponse>
RequestApi::Handle(HttpExchange& aExchange) const
{
  const HttpRequest& request = aExchange.Request();
  if (PathOf(request) == "/v1/requests" && request.method_ == "GET") {
    return List(aExchange);
  }
  if (PathOf(request) == "/v1/requests/settle" && request.method_ == "POST") {
    return Settle(aExchange);
  }
  return std::nullopt;
}

HttpResponse
RequestApi::List(HttpExchange& aExchange) const
{
  const HttpRequest& request = aExchange.Request();
  auto state = ParseState(QueryField(request, "state"));
  if (!state) {
    return RefusalResponse(
      400, Outcome::NotRun, "unknown_state", "there is no such state");
  }
  LedgerFilter filter;
  filter.state_ = *state;
  filter.organisation_ = QueryField(request, "organisation");
  auto records = MakeClient(hooks_).List(aExchange.GetFiber(), filter);
  if (!records) {
    return ControlUnavailableResponse(records.error());
  }
  json::array requests;
  for (const auto& record : *records) {
    requests.push_back(ToJson(record));
  }
  json::object response{ { "requests", requests } };
  return JsonResponse(200, json::serialize(response));
}

HttpResponse
RequestApi::Settle(HttpExchange& aExchange) const
{
  auto command = ReadSettlement(aExchange.Request().body_.Text());
  if (!command) {
    return RefusalResponse(400,
                           Outcome::NotRun,
                           "malformed_body",
                           "organisation, key and ran are needed, and for a "
                           "request that ran its status, content_type, body");
  }
  auto result = MakeClient(hooks_).Propose(aExchange.GetFiber(), *command);
  if (!result) {
    return ControlUnavailableResponse(result.error());
  }
  const LedgerRecord& record = result->record_;
  if (!result->isApplied_ && !IsAlreadySettled(*command, record)) {
    return RefusalResponse(409,
                           Outcome::NotRun,
                           "not_unknown",
                           std::string("the request's state is ") +
                             ToString(record.state_));
  }
  json::object response{ { "state", ToString(record.state_) } };
  return JsonResponse(200, json::serialize(response));
}

} // namespace tanagerstall
