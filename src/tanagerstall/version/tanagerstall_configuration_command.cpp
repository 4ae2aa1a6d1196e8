#include "tanagerstall/version/tanagerstall_configuration_command.hpp"

#include "tanagerstall/internal/tanagerstall_configuration_wire.hpp"

namespace tanagerstall {

namespace {

void
WriteWire(wire::RecordRefusal::Builder aTo, const RecordError& aFrom)
{
  aTo.setRecord(ToText(aFrom.record_));
  aTo.setField(ToText(aFrom.field_));
  aTo.setMessage(ToText(aFrom.message_));
}

void
WriteWire(wire::ChangeOutcome::Builder aTo, const ChangeOutcome& aFrom)
{
  aTo.setKey(ToText(aFrom.key_));
  aTo.setAction(static_cast<wire::ChangeAction>(aFrom.action_));
  aTo.setVersion(aFrom.version_);
  aTo.setBefore(ToText(aFrom.before_));
  aTo.setAfter(ToText(aFrom.after_));
}

void
WriteWire(wire::RecordChange::Builder aTo, const RecordChange& aFrom)
{
  aTo.setKey(ToText(aFrom.key_));
  aTo.setExpectedVersion(aFrom.expectedVersion_);
  aTo.setDeleted(aFrom.isDeleted_);
  aTo.setBody(ToText(aFrom.body_));
}

template<class ListBuilder, class Items>
void
WriteAll(ListBuilder aTo, const Items& aFrom)
{
  unsigned index = 0;
  for (const auto& item : aFrom) {
    WriteWire(aTo[index++], item);
  }
}

void
Write(wire::ConfigurationCommand::Builder aTo,
      const ConfigurationCommand& aFrom)
{
  aTo.setOperationId(ToText(aFrom.operationId_));
  aTo.setAuthor(ToText(aFrom.author_));
  WriteAll(aTo.initChanges(aFrom.changes_.size()), aFrom.changes_);
}

} // namespace

void
WriteWire(wire::StoredRecord::Builder aTo, const StoredRecord& aFrom)
{
  aTo.setKey(ToText(aFrom.key_));
  aTo.setVersion(aFrom.version_);
  aTo.setRevision(aFrom.revision_);
  aTo.setDeleted(aFrom.isDeleted_);
  aTo.setBody(ToText(aFrom.body_));
  aTo.setAuthor(ToText(aFrom.author_));
}

StoredRecord
ReadWire(wire::StoredRecord::Reader aFrom)
{
  return { ToString(aFrom.getKey()),  aFrom.getVersion(),
           aFrom.getRevision(),       aFrom.getDeleted(),
           ToString(aFrom.getBody()), ToString(aFrom.getAuthor()) };
}

ConfigurationCommand
ReadWire(wire::ConfigurationCommand::Reader aFrom)
{
  ConfigurationCommand command;
  command.operationId_ = ToString(aFrom.getOperationId());
  command.author_ = ToString(aFrom.getAuthor());
  for (auto change : aFrom.getChanges()) {
    command.changes_.push_back({ ToString(change.getKey()),
                                 change.getExpectedVersion(),
                                 change.getDeleted(),
                                 ToString(change.getBody()) });
  }
  return command;
}

Bytes
Encode(const ConfigurationCommand& aCommand)
{
  capnp::MallocMessageBuilder message;
  Write(message.initRoot<wire::ConfigurationCommand>(), aCommand);
  return Flatten(message);
}

Bytes
Encode(const ConfigurationResult& aResult)
{
  capnp::MallocMessageBuilder message;
  auto result = message.initRoot<wire::ConfigurationResult>();
  result.setApplied(aResult.isApplied_);
  result.setRevision(aResult.revision_);
  WriteWireList(result.initConflicts(aResult.conflicts_.size()),
                aResult.conflicts_);
  WriteAll(result.initRefusals(aResult.refusals_.size()), aResult.refusals_);
  WriteAll(result.initChanges(aResult.changes_.size()), aResult.changes_);
  return Flatten(message);
}

Bytes
Encode(const RecordList& aList)
{
  capnp::MallocMessageBuilder message;
  auto result = message.initRoot<wire::ConfigurationQueryResult>();
  result.setRevision(aList.revision_);
  WriteWireList(result.initRecords(aList.records_.size()), aList.records_);
  return Flatten(message);
}

ConfigurationCommand
DecodeCommand(BytesView aBytes)
{
  FlatMessage message(aBytes);
  return ReadWire(message.Root<wire::ConfigurationCommand>());
}

ConfigurationResult
DecodeResult(BytesView aBytes)
{
  FlatMessage message(aBytes);
  auto from = message.Root<wire::ConfigurationResult>();
  ConfigurationResult result;
  result.isApplied_ = from.getApplied();
  result.revision_ = from.getRevision();
  for (auto conflict : from.getConflicts()) {
    result.conflicts_.push_back(ReadWire(conflict));
  }
  for (auto refusal : from.getRefusals()) {
    result.refusals_.push_back({ ToString(refusal.getRecord()),
                                 ToString(refusal.getField()),
                                 ToString(refusal.getMessage()) });
  }
  for (auto change : from.getChanges()) {
    result.changes_.push_back({ ToString(change.getKey()),
                                static_cast<ChangeAction>(change.getAction()),
                                change.getVersion(),
                                ToString(change.getBefore()),
                                ToString(change.getAfter()) });
  }
  return result;
}

RecordList
DecodeRecords(BytesView aBytes)
{
  FlatMessage message(aBytes);
  auto from = message.Root<wire::ConfigurationQueryResult>();
  RecordList list;
  list.revision_ = from.getRevision();
  for (auto record : from.getRecords()) {
    list.records_.push_back(ReadWire(record));
  }
  return list;
}

Bytes
EncodeQueryAll()
{
  capnp::MallocMessageBuilder message;
  message.initRoot<wire::ConfigurationQuery>().setAll();
  return Flatten(message);
}

Bytes
EncodeQueryRevision()
{
  capnp::MallocMessageBuilder message;
  message.initRoot<wire::ConfigurationQuery>().setRevision();
  return Flatten(message);
}

Bytes
EncodeQueryRecord(const std::string& aKey)
{
  capnp::MallocMessageBuilder message;
  message.initRoot<wire::ConfigurationQuery>().setKey(ToText(aKey));
  return Flatten(message);
}

Bytes
EncodeQueryHistory(const std::string& aKey)
{
  capnp::MallocMessageBuilder message;
  message.initRoot<wire::ConfigurationQuery>().setHistory(ToText(aKey));
  return Flatten(message);
}

Bytes
EncodeCheck(const ConfigurationCommand& aCommand)
{
  capnp::MallocMessageBuilder message;
  Write(message.initRoot<wire::ConfigurationQuery>().initCheck(), aCommand);
  return Flatten(message);
}

} // namespace tanagerstall
