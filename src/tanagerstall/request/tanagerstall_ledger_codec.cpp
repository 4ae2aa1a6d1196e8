#include "tanagerstall/request/tanagerstall_ledger_codec.hpp"

#include "tanagerstall/internal/ledger.capnp.h"
#include "tanagerstall/internal/tanagerstall_wire.hpp"

namespace tanagerstall {

namespace {

std::int64_t
ToWire(WallTime aTime)
{
  return aTime.time_since_epoch().count();
}

WallTime
TimeOf(std::int64_t aMilliseconds)
{
  return WallTime(std::chrono::milliseconds(aMilliseconds));
}

void
Write(wire::RecordedAnswer::Builder aTo, const RecordedAnswer& aFrom)
{
  aTo.setStatus(static_cast<std::uint16_t>(aFrom.status_));
  aTo.setContentType(ToText(aFrom.contentType_));
  aTo.setBody(ToData(ViewOf(aFrom.body_)));
}

RecordedAnswer
Read(wire::RecordedAnswer::Reader aFrom)
{
  return { aFrom.getStatus(),
           ToString(aFrom.getContentType()),
           TextOf(ToBytes(aFrom.getBody())) };
}

void
Write(wire::LedgerRequest::Builder aTo, const LedgerRequest& aFrom)
{
  aTo.setService(ToText(aFrom.service_));
  aTo.setMethod(ToText(aFrom.method_));
  aTo.setTarget(ToText(aFrom.target_));
  aTo.setBodyHash(aFrom.bodyHash_);
  aTo.setBody(ToData(ViewOf(aFrom.body_)));
  aTo.setContentType(ToText(aFrom.contentType_));
  aTo.setEntry(ToText(aFrom.entry_));
  aTo.setAsync(aFrom.isAsync_);
  aTo.setDeadline(ToWire(aFrom.deadline_));
  aTo.setRetention(aFrom.retention_.count());
}

LedgerRequest
Read(wire::LedgerRequest::Reader aFrom)
{
  LedgerRequest request;
  request.service_ = ToString(aFrom.getService());
  request.method_ = ToString(aFrom.getMethod());
  request.target_ = ToString(aFrom.getTarget());
  request.bodyHash_ = aFrom.getBodyHash();
  request.body_ = TextOf(ToBytes(aFrom.getBody()));
  request.contentType_ = ToString(aFrom.getContentType());
  request.entry_ = ToString(aFrom.getEntry());
  request.isAsync_ = aFrom.getAsync();
  request.deadline_ = TimeOf(aFrom.getDeadline());
  request.retention_ = std::chrono::milliseconds(aFrom.getRetention());
  return request;
}

void
Write(wire::LedgerGrant::Builder aTo, const LedgerGrant& aFrom)
{
  aTo.setEntry(ToText(aFrom.entry_));
  aTo.setNonce(ToText(aFrom.nonce_));
  aTo.setUpstream(ToText(aFrom.upstream_));
  aTo.setIncarnation(aFrom.upstreamIncarnation_);
  aTo.setDeduplicates(aFrom.deduplicates_);
}

LedgerGrant
Read(wire::LedgerGrant::Reader aFrom)
{
  return { ToString(aFrom.getEntry()),
           ToString(aFrom.getNonce()),
           ToString(aFrom.getUpstream()),
           aFrom.getIncarnation(),
           aFrom.getDeduplicates() };
}

void
Write(wire::LedgerRecord::Builder aTo, const LedgerRecord& aFrom)
{
  aTo.setOrganisation(ToText(aFrom.organisation_));
  aTo.setKey(ToText(aFrom.key_));
  Write(aTo.initRequest(), aFrom.request_);
  aTo.setState(static_cast<wire::RequestState>(aFrom.state_));
  aTo.setVersion(aFrom.version_);
  Write(aTo.initGrant(), aFrom.grant_);
  aTo.setMayHaveRun(aFrom.mayHaveRun_);
  aTo.setReason(ToText(aFrom.reason_));
  Write(aTo.initAnswer(), aFrom.answer_);
  aTo.setAnswerDropped(aFrom.isAnswerDropped_);
  aTo.setAcceptedAt(ToWire(aFrom.acceptedAt_));
  aTo.setChangedAt(ToWire(aFrom.changedAt_));
}

LedgerRecord
Read(wire::LedgerRecord::Reader aFrom)
{
  LedgerRecord record;
  record.organisation_ = ToString(aFrom.getOrganisation());
  record.key_ = ToString(aFrom.getKey());
  record.request_ = Read(aFrom.getRequest());
  record.state_ = static_cast<RequestState>(aFrom.getState());
  record.version_ = aFrom.getVersion();
  record.grant_ = Read(aFrom.getGrant());
  record.mayHaveRun_ = aFrom.getMayHaveRun();
  record.reason_ = ToString(aFrom.getReason());
  record.answer_ = Read(aFrom.getAnswer());
  record.isAnswerDropped_ = aFrom.getAnswerDropped();
  record.acceptedAt_ = TimeOf(aFrom.getAcceptedAt());
  record.changedAt_ = TimeOf(aFrom.getChangedAt());
  return record;
}

/// Decodes a message with `aRead`; returns nullopt if Cap'n Proto rejects the
/// bytes.
template<class Struct, class ReadHook>
auto
Decode(BytesView aBytes, ReadHook aRead)
  -> std::optional<decltype(aRead(typename Struct::Reader()))>
{
  try {
    FlatMessage message(aBytes);
    return aRead(message.Root<Struct>());
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

template<class List>
std::vector<LedgerRecord>
ReadList(List aList)
{
  std::vector<LedgerRecord> records;
  records.reserve(aList.size());
  for (auto record : aList) {
    records.push_back(Read(record));
  }
  return records;
}

template<class List>
void
WriteList(List aTo, const std::vector<LedgerRecord>& aFrom)
{
  for (unsigned i = 0; i < aFrom.size(); ++i) {
    Write(aTo[i], aFrom[i]);
  }
}

} // namespace

Bytes
WriteCommand(const LedgerCommand& aCommand)
{
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::LedgerCommand>();
  root.setOrganisation(ToText(aCommand.organisation_));
  root.setKey(ToText(aCommand.key_));
  root.setTime(ToWire(aCommand.time_));
  root.setAction(static_cast<wire::LedgerAction>(aCommand.action_));
  root.setVersion(aCommand.version_);
  Write(root.initRequest(), aCommand.request_);
  Write(root.initGrant(), aCommand.grant_);
  Write(root.initAnswer(), aCommand.answer_);
  root.setReason(ToText(aCommand.reason_));
  return Flatten(message);
}

std::optional<LedgerCommand>
ReadCommand(BytesView aBytes)
{
  return Decode<wire::LedgerCommand>(
    aBytes, [](wire::LedgerCommand::Reader aFrom) {
      LedgerCommand command;
      command.organisation_ = ToString(aFrom.getOrganisation());
      command.key_ = ToString(aFrom.getKey());
      command.time_ = TimeOf(aFrom.getTime());
      command.action_ = static_cast<LedgerAction>(aFrom.getAction());
      command.version_ = aFrom.getVersion();
      command.request_ = Read(aFrom.getRequest());
      command.grant_ = Read(aFrom.getGrant());
      command.answer_ = Read(aFrom.getAnswer());
      command.reason_ = ToString(aFrom.getReason());
      return command;
    });
}

Bytes
WriteResult(const LedgerResult& aResult)
{
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::LedgerResult>();
  root.setApplied(aResult.isApplied_);
  root.setConflict(aResult.isConflict_);
  root.setFull(aResult.isFull_);
  root.setMalformed(aResult.isMalformed_);
  Write(root.initRecord(), aResult.record_);
  return Flatten(message);
}

std::optional<LedgerResult>
ReadResult(BytesView aBytes)
{
  return Decode<wire::LedgerResult>(
    aBytes, [](wire::LedgerResult::Reader aFrom) {
      return LedgerResult{ aFrom.getApplied(),
                           aFrom.getConflict(),
                           aFrom.getFull(),
                           aFrom.getMalformed(),
                           Read(aFrom.getRecord()) };
    });
}

Bytes
WriteQuery(const LedgerQuery& aQuery)
{
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::LedgerQuery>();
  if (const auto* lookup = std::get_if<LedgerLookup>(&aQuery)) {
    auto to = root.initRecord();
    to.setOrganisation(ToText(lookup->organisation_));
    to.setKey(ToText(lookup->key_));
  } else {
    const auto& filter = std::get<LedgerFilter>(aQuery);
    auto to = root.initList();
    to.setState(static_cast<wire::RequestState>(filter.state_));
    to.setOrganisation(ToText(filter.organisation_));
    to.setLimit(filter.limit_);
  }
  return Flatten(message);
}

std::optional<LedgerQuery>
ReadQuery(BytesView aBytes)
{
  return Decode<wire::LedgerQuery>(
    aBytes, [](wire::LedgerQuery::Reader aFrom) -> LedgerQuery {
      if (aFrom.isRecord()) {
        return LedgerLookup{ ToString(aFrom.getRecord().getOrganisation()),
                             ToString(aFrom.getRecord().getKey()) };
      }
      auto list = aFrom.getList();
      return LedgerFilter{ static_cast<RequestState>(list.getState()),
                           ToString(list.getOrganisation()),
                           list.getLimit() };
    });
}

Bytes
WriteRecords(const std::vector<LedgerRecord>& aRecords)
{
  capnp::MallocMessageBuilder message;
  WriteList(
    message.initRoot<wire::LedgerQueryResult>().initRecords(aRecords.size()),
    aRecords);
  return Flatten(message);
}

std::optional<std::vector<LedgerRecord>>
ReadRecords(BytesView aBytes)
{
  return Decode<wire::LedgerQueryResult>(
    aBytes, [](wire::LedgerQueryResult::Reader aFrom) {
      return ReadList(aFrom.getRecords());
    });
}

Bytes
WriteLedgerSnapshot(const LedgerSnapshot& aSnapshot)
{
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::LedgerSnapshot>();
  WriteList(root.initRecords(aSnapshot.records_.size()), aSnapshot.records_);
  root.setLastVersion(aSnapshot.lastVersion_);
  root.setTime(ToWire(aSnapshot.time_));
  return Flatten(message);
}

std::optional<LedgerSnapshot>
ReadLedgerSnapshot(BytesView aBytes)
{
  return Decode<wire::LedgerSnapshot>(
    aBytes, [](wire::LedgerSnapshot::Reader aFrom) {
      return LedgerSnapshot{ ReadList(aFrom.getRecords()),
                             aFrom.getLastVersion(),
                             TimeOf(aFrom.getTime()) };
    });
}

} // namespace tanagerstall
