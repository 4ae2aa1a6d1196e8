#include "tanagerstall/version/tanagerstall_configuration_store.hpp"

#include "tanagerstall/internal/tanagerstall_configuration_wire.hpp"

#include <algorithm>
#include <iterator>

namespace tanagerstall {

namespace {

constexpr std::size_t kMaxHistoryVersions = 10'000;
constexpr std::size_t kMaxHistoryBytes = 8UL * 1024 * 1024;
constexpr std::size_t kMaxTombstones = 4096;

std::size_t
SizeOf(const StoredRecord& aRecord)
{
  return sizeof aRecord + aRecord.key_.size() + aRecord.body_.size() +
         aRecord.author_.size();
}

/// Hashes the written keys and bodies, to detect an operation id that is reused
/// for another command. Expected versions are left out because a writer that
/// resends a command may have read newer ones. Deletes are left out because the
/// list of records to delete may be shorter once the first command has run.
std::uint64_t
HashWrites(const ConfigurationCommand& aCommand)
{
  std::string content;
  for (const RecordChange& change : aCommand.changes_) {
    if (!change.isDeleted_) {
      content += change.key_ + '\0' + change.body_ + '\0';
    }
  }
  return Checksum(ViewOf(content));
}

/// Returns whether a command is a retransmission of a completed one. If that
/// one was applied, it must have covered every key of this command.
bool
IsSameCommand(const CompletedOperation& aEarlier,
              const ConfigurationCommand& aCommand)
{
  if (aEarlier.contentHash_ != HashWrites(aCommand)) {
    return false;
  }
  auto result = DecodeResult(aEarlier.result_);
  if (!result.isApplied_) {
    return true;
  }
  return std::all_of(aCommand.changes_.begin(),
                     aCommand.changes_.end(),
                     [&](const RecordChange& aChange) {
                       return std::any_of(result.changes_.begin(),
                                          result.changes_.end(),
                                          [&](const ChangeOutcome& aOutcome) {
                                            return aOutcome.key_ ==
                                                   aChange.key_;
                                          });
                     });
}

ConfigurationResult
Refusal(std::uint64_t aRevision, std::string aField, std::string aMessage)
{
  ConfigurationResult result;
  result.revision_ = aRevision;
  result.refusals_.push_back({ "", std::move(aField), std::move(aMessage) });
  return result;
}

} // namespace

ConfigurationStore::ConfigurationStore(ChangeHook aOnChange)
  : onChange_(std::move(aOnChange))
{
}

StateMachine
ConfigurationStore::AsStateMachine()
{
  return { [this](BytesView aCommand) { return Apply(aCommand); },
           [this](BytesView aQuery) { return Query(aQuery); },
           [this] { return TakeSnapshot(); },
           [this](BytesView aSnapshot) { InstallSnapshot(aSnapshot); } };
}

std::vector<StoredRecord>
ConfigurationStore::ChangedAfter(std::uint64_t aRevision) const
{
  std::vector<StoredRecord> changed;
  for (const auto& [key, record] : records_) {
    if (record.revision_ > aRevision) {
      changed.push_back(record);
    }
  }
  return changed;
}

bool
ConfigurationStore::HasDeltaFrom(std::uint64_t aRevision) const
{
  return aRevision > 0 && aRevision >= deltasFrom_;
}

Bytes
ConfigurationStore::Apply(BytesView aCommand)
{
  ConfigurationCommand command;
  try {
    command = DecodeCommand(aCommand);
  } catch (const kj::Exception& error) {
    return Encode(Refusal(revision_, "", "the command is malformed"));
  }
  return ApplyOnce(command);
}

Bytes
ConfigurationStore::ApplyOnce(const ConfigurationCommand& aCommand)
{
  if (const auto* earlier = operations_.Find(aCommand.operationId_)) {
    return IsSameCommand(*earlier, aCommand)
             ? earlier->result_
             : Encode(Refusal(
                 revision_, "operation_id", "was used for other content"));
  }
  Bytes result = Encode(Execute(aCommand));
  if (!aCommand.operationId_.empty()) {
    operations_.Add({ aCommand.operationId_, HashWrites(aCommand), result });
  }
  return result;
}

ConfigurationResult
ConfigurationStore::Execute(const ConfigurationCommand& aCommand)
{
  ConfigurationResult result = CheckCommand(records_, aCommand);
  bool isChange = false;
  std::uint64_t newest = 0;
  for (ChangeOutcome& outcome : result.changes_) {
    if (result.isApplied_ && outcome.action_ != ChangeAction::Unchanged) {
      isChange = true;
      StoredRecord& record = records_[outcome.key_];
      tombstones_.erase({ record.revision_, outcome.key_ });
      record = { outcome.key_, outcome.version_, revision_ + 1,
                 false,        outcome.after_,   aCommand.author_ };
      record.isDeleted_ = outcome.action_ == ChangeAction::Deleted;
      if (record.isDeleted_) {
        tombstones_.emplace(record.revision_, outcome.key_);
      }
      AddHistory(record);
    }
    if (auto it = records_.find(outcome.key_); it != records_.end()) {
      newest = std::max(newest, it->second.revision_);
    }
    outcome.before_.clear();
    outcome.after_.clear();
  }
  if (!isChange) {
    // Every record already had the requested content. Return the revision that
    // stored it, as the writer that stored it was told.
    result.revision_ = result.isApplied_ && newest > 0 ? newest : revision_;
    return result;
  }
  ++revision_;
  result.revision_ = revision_;
  PruneTombstones();
  if (onChange_) {
    onChange_(revision_);
  }
  return result;
}

void
ConfigurationStore::AddHistory(const StoredRecord& aRecord)
{
  history_.push_back(aRecord);
  historyBytes_ += SizeOf(aRecord);
  while (history_.size() > kMaxHistoryVersions ||
         historyBytes_ > kMaxHistoryBytes) {
    historyBytes_ -= SizeOf(history_.front());
    history_.pop_front();
  }
}

void
ConfigurationStore::PruneTombstones()
{
  while (tombstones_.size() > kMaxTombstones) {
    auto oldest = tombstones_.begin();
    deltasFrom_ = std::max(deltasFrom_, oldest->first);
    records_.erase(oldest->second);
    tombstones_.erase(oldest);
  }
}

Bytes
ConfigurationStore::Check(const ConfigurationCommand& aCommand) const
{
  if (const auto* earlier = operations_.Find(aCommand.operationId_)) {
    return earlier->result_;
  }
  ConfigurationResult result = CheckCommand(records_, aCommand);
  result.revision_ = revision_;
  return Encode(result);
}

Bytes
ConfigurationStore::Query(BytesView aQuery) const
{
  RecordList list;
  list.revision_ = revision_;
  try {
    FlatMessage message(aQuery);
    auto query = message.Root<wire::ConfigurationQuery>();
    if (query.isCheck()) {
      return Check(ReadWire(query.getCheck()));
    }
    if (query.isAll()) {
      list.records_ = ChangedAfter(0);
    } else if (query.isKey()) {
      auto it = records_.find(ToString(query.getKey()));
      if (it != records_.end()) {
        list.records_.push_back(it->second);
      }
    } else if (query.isHistory()) {
      std::string key = ToString(query.getHistory());
      std::copy_if(
        history_.begin(),
        history_.end(),
        std::back_inserter(list.records_),
        [&](const StoredRecord& aRecord) { return aRecord.key_ == key; });
    }
  } catch (const kj::Exception& error) {
    list.records_.clear();
  }
  return Encode(list);
}

Bytes
ConfigurationStore::TakeSnapshot() const
{
  capnp::MallocMessageBuilder message;
  auto snapshot = message.initRoot<wire::ConfigurationSnapshot>();
  snapshot.setRevision(revision_);
  snapshot.setDeltasFrom(deltasFrom_);
  WriteWireList(snapshot.initRecords(records_.size()), ChangedAfter(0));
  WriteWireList(snapshot.initHistory(history_.size()), history_);
  auto operations = snapshot.initOperations(operations_.All().size());
  unsigned index = 0;
  for (const CompletedOperation& operation : operations_.All()) {
    auto to = operations[index++];
    to.setOperationId(ToText(operation.id_));
    to.setContentHash(operation.contentHash_);
    to.setResult(ToData(operation.result_));
  }
  return Flatten(message);
}

void
ConfigurationStore::InstallSnapshot(BytesView aSnapshot)
{
  FlatMessage message(aSnapshot);
  auto snapshot = message.Root<wire::ConfigurationSnapshot>();
  revision_ = snapshot.getRevision();
  deltasFrom_ = snapshot.getDeltasFrom();
  records_.clear();
  tombstones_.clear();
  history_.clear();
  historyBytes_ = 0;
  operations_.Clear();
  for (auto from : snapshot.getRecords()) {
    StoredRecord record = ReadWire(from);
    if (record.isDeleted_) {
      tombstones_.emplace(record.revision_, record.key_);
    }
    records_[record.key_] = std::move(record);
  }
  for (auto record : snapshot.getHistory()) {
    AddHistory(ReadWire(record));
  }
  for (auto operation : snapshot.getOperations()) {
    operations_.Add({ ToString(operation.getOperationId()),
                      operation.getContentHash(),
                      ToBytes(operation.getResult()) });
  }
  if (onChange_) {
    onChange_(revision_);
  }
}

} // namespace tanagerstall
