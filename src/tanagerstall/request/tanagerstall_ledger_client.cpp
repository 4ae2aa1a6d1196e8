#include "tanagerstall/request/tanagerstall_ledger_client.hpp"

namespace tanagerstall {

namespace {

tl::unexpected<GroupError>
Unreadable()
{
  return tl::make_unexpected(
    GroupError{ GroupFault::Malformed, "the ledger's reply can't be read" });
}

GroupResult
Call(Fiber& aFiber, const LedgerClient::CallHook& aHook, Bytes aBytes)
{
  return aFiber.Await<GroupResult>([&](std::function<void(GroupResult)> aDone) {
    aHook(std::move(aBytes), std::move(aDone));
  });
}

} // namespace

LedgerClient::LedgerClient(CallHook aPropose, CallHook aQuery)
  : propose_(std::move(aPropose))
  , query_(std::move(aQuery))
{
}

auto
LedgerClient::Propose(Fiber& aFiber, LedgerCommand aCommand) const
  -> Result<LedgerResult>
{
  aCommand.time_ = ReadWallTime();
  auto reply = Call(aFiber, propose_, WriteCommand(aCommand));
  if (!reply) {
    return tl::make_unexpected(reply.error());
  }
  auto result = ReadResult(*reply);
  if (!result || result->isMalformed_) {
    return Unreadable();
  }
  return std::move(*result);
}

auto
LedgerClient::Query(Fiber& aFiber, const LedgerQuery& aQuery) const
  -> Result<std::vector<LedgerRecord>>
{
  auto reply = Call(aFiber, query_, WriteQuery(aQuery));
  if (!reply) {
    return tl::make_unexpected(reply.error());
  }
  auto records = ReadRecords(*reply);
  if (!records) {
    return Unreadable();
  }
  return std::move(*records);
}

auto
LedgerClient::Find(Fiber& aFiber, const LedgerLookup& aLookup) const
  -> Result<std::optional<LedgerRecord>>
{
  auto records = Query(aFiber, aLookup);
  if (!records) {
    return tl::make_unexpected(records.error());
  }
  if (records->empty()) {
    return std::optional<LedgerRecord>();
  }
  return std::optional<LedgerRecord>(std::move(records->front()));
}

auto
LedgerClient::List(Fiber& aFiber, const LedgerFilter& aFilter) const
  -> Result<std::vector<LedgerRecord>>
{
  return Query(aFiber, aFilter);
}

} // namespace tanagerstall
