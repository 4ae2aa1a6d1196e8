#include "tanagerstall/request/tanagerstall_ledger.hpp"

#include "tanagerstall/request/tanagerstall_ledger_codec.hpp"

#include <algorithm>
#include <stdexcept>

namespace tanagerstall {

namespace {

/// The most by which one command advances the ledger's clock. Without a limit,
/// a single proposer whose clock is far ahead would make all records expire.
constexpr std::chrono::milliseconds kMaxTimeStep = std::chrono::minutes(1);

/// Whether the command refers to the attempt that currently holds the grant.
bool
IsCurrent(const LedgerRecord& aRecord, const LedgerCommand& aCommand)
{
  return aRecord.state_ == RequestState::Granted &&
         aRecord.version_ == aCommand.version_;
}

bool
IsFinal(RequestState aState)
{
  return aState == RequestState::Answered || aState == RequestState::Withdrawn;
}

/// Clears a string and frees its buffer, which clear() does not.
void
ReleaseMemory(std::string& aText)
{
  std::string().swap(aText);
}

/// Frees the fields that only an unfinished request needs, because finished
/// records are kept for their whole retention.
void
Compact(LedgerRecord& aRecord)
{
  ReleaseMemory(aRecord.request_.body_);
  ReleaseMemory(aRecord.request_.contentType_);
  ReleaseMemory(aRecord.request_.entry_);
  ReleaseMemory(aRecord.grant_.entry_);
  ReleaseMemory(aRecord.grant_.nonce_);
}

/// Whether a request with an unknown outcome may be granted again. Only the
/// same incarnation of the upstream that received it can recognise the key.
bool
CanGrantAgain(const LedgerRecord& aRecord, const LedgerGrant& aGrant)
{
  return aRecord.state_ == RequestState::Unknown &&
         aRecord.grant_.deduplicates_ && aGrant.deduplicates_ &&
         aRecord.grant_.upstream_ == aGrant.upstream_ &&
         aRecord.grant_.upstreamIncarnation_ == aGrant.upstreamIncarnation_;
}

} // namespace

Ledger::Ledger(LedgerLimits aLimits)
  : limits_(aLimits)
{
}

StateMachine
Ledger::AsStateMachine()
{
  return { [this](BytesView aCommand) { return ApplyBytes(aCommand); },
           [this](BytesView aQuery) { return Query(aQuery); },
           [this] { return TakeSnapshot(); },
           [this](BytesView aSnapshot) { InstallSnapshot(aSnapshot); } };
}

Bytes
Ledger::ApplyBytes(BytesView aCommand)
{
  auto command = ReadCommand(aCommand);
  if (!command) {
    LedgerResult malformed;
    malformed.isMalformed_ = true;
    return WriteResult(malformed);
  }
  return WriteResult(Apply(*command));
}

LedgerResult
Ledger::Apply(const LedgerCommand& aCommand)
{
  AdvanceTime(aCommand.time_);
  DropExpired();
  LedgerResult result;
  IndexKey key(aCommand.organisation_, aCommand.key_);
  auto it = records_.find(key);
  if (it == records_.end()) {
    if (aCommand.action_ != LedgerAction::Accept || aCommand.version_ != 0) {
      return result;
    }
    if (records_.size() >= limits_.maxRecords_) {
      result.isFull_ = true;
      return result;
    }
    it = records_.emplace(key, LedgerRecord{}).first;
  }
  LedgerRecord& record = it->second;
  result.isConflict_ = aCommand.action_ == LedgerAction::Accept &&
                       record.state_ != RequestState::Absent &&
                       !record.request_.IsSameAs(aCommand.request_);
  Unindex(it);
  result.isApplied_ = !result.isConflict_ && ApplyTo(record, aCommand);
  if (result.isApplied_) {
    record.changedAt_ = time_;
  }
  Index(it);
  DropOldestAnswerBodies();
  result.record_ = record;
  result.record_.request_.body_.clear();
  return result;
}

bool
Ledger::ApplyTo(LedgerRecord& aRecord, const LedgerCommand& aCommand)
{
  switch (aCommand.action_) {
    case LedgerAction::Accept:
      return Accept(aRecord, aCommand);
    case LedgerAction::Grant:
      return Grant(aRecord, aCommand);
    case LedgerAction::Release:
      if (!IsCurrent(aRecord, aCommand)) {
        return false;
      }
      aRecord.state_ =
        aRecord.mayHaveRun_ ? RequestState::Unknown : RequestState::Accepted;
      aRecord.version_ = ++lastVersion_;
      return true;
    case LedgerAction::Complete:
      if (aRecord.version_ != aCommand.version_ ||
          (aRecord.state_ != RequestState::Granted &&
           aRecord.state_ != RequestState::Unknown)) {
        return false;
      }
      return Answer(aRecord, aCommand.answer_);
    case LedgerAction::MarkUnknown:
      if (!IsCurrent(aRecord, aCommand)) {
        return false;
      }
      aRecord.state_ = RequestState::Unknown;
      aRecord.mayHaveRun_ = true;
      aRecord.reason_ = aCommand.reason_;
      return true;
    case LedgerAction::Withdraw:
      return aRecord.state_ == RequestState::Accepted &&
             !aRecord.request_.isAsync_ &&
             aRecord.version_ == aCommand.version_ && Withdraw(aRecord);
    case LedgerAction::SettleRan:
      return aRecord.state_ == RequestState::Unknown &&
             Answer(aRecord, aCommand.answer_);
    case LedgerAction::SettleNotRun:
      return (aRecord.state_ == RequestState::Unknown ||
              aRecord.state_ == RequestState::Accepted) &&
             Withdraw(aRecord);
  }
  return false;
}

/// Records a request. A withdrawn request is accepted again only by a command
/// with the version of the withdrawal, so that a delayed copy of an earlier
/// command does not revive it.
bool
Ledger::Accept(LedgerRecord& aRecord, const LedgerCommand& aCommand)
{
  bool isNew = aRecord.state_ == RequestState::Absent;
  bool isRenewed = aRecord.state_ == RequestState::Withdrawn &&
                   aCommand.version_ == aRecord.version_;
  if (isNew || isRenewed) {
    aRecord.organisation_ = aCommand.organisation_;
    aRecord.key_ = aCommand.key_;
    aRecord.request_ = aCommand.request_;
    aRecord.state_ = RequestState::Accepted;
    aRecord.version_ = ++lastVersion_;
    aRecord.mayHaveRun_ = false;
    aRecord.reason_.clear();
    aRecord.acceptedAt_ = time_;
    return true;
  }
  bool becomesAsync = aCommand.request_.isAsync_ &&
                      !aRecord.request_.isAsync_ &&
                      (aRecord.state_ == RequestState::Accepted ||
                       aRecord.state_ == RequestState::Granted);
  if (becomesAsync) {
    aRecord.request_ = aCommand.request_;
  }
  return becomesAsync;
}

bool
Ledger::Grant(LedgerRecord& aRecord, const LedgerCommand& aCommand)
{
  if (aRecord.state_ == RequestState::Granted) {
    return aRecord.grant_.nonce_ == aCommand.grant_.nonce_;
  }
  if (aRecord.version_ != aCommand.version_ ||
      (aRecord.state_ != RequestState::Accepted &&
       !CanGrantAgain(aRecord, aCommand.grant_))) {
    return false;
  }
  aRecord.state_ = RequestState::Granted;
  aRecord.version_ = ++lastVersion_;
  aRecord.grant_ = aCommand.grant_;
  return true;
}

bool
Ledger::Withdraw(LedgerRecord& aRecord)
{
  aRecord.state_ = RequestState::Withdrawn;
  aRecord.version_ = ++lastVersion_;
  Compact(aRecord);
  return true;
}

bool
Ledger::Answer(LedgerRecord& aRecord, const RecordedAnswer& aAnswer)
{
  aRecord.state_ = RequestState::Answered;
  aRecord.version_ = ++lastVersion_;
  aRecord.answer_ = aAnswer;
  Compact(aRecord);
  return true;
}

void
Ledger::AdvanceTime(WallTime aTime)
{
  WallTime latest = time_ == WallTime{} ? aTime : time_ + kMaxTimeStep;
  time_ = std::clamp(aTime, time_, std::max(time_, latest));
}

void
Ledger::DropExpired()
{
  while (!expiries_.empty() && expiries_.begin()->first.first <= time_) {
    auto expired = expiries_.begin()->second;
    Unindex(expired);
    records_.erase(expired);
  }
}

void
Ledger::DropOldestAnswerBodies()
{
  while (answerBytes_ > limits_.maxAnswerBytes_ && !answers_.empty()) {
    auto oldest = answers_.begin()->second;
    Unindex(oldest);
    ReleaseMemory(oldest->second.answer_.body_);
    oldest->second.isAnswerDropped_ = true;
    Index(oldest);
  }
}

void
Ledger::Index(Records::iterator aPosition)
{
  const LedgerRecord& record = aPosition->second;
  if (!IsFinal(record.state_)) {
    open_.insert(aPosition->first);
    return;
  }
  WallTime expiry = record.changedAt_ + record.request_.retention_;
  expiries_.emplace(std::pair(expiry, record.version_), aPosition);
  if (!record.answer_.body_.empty()) {
    answers_.emplace(record.version_, aPosition);
    answerBytes_ += record.answer_.body_.size();
  }
}

void
Ledger::Unindex(Records::iterator aPosition)
{
  const LedgerRecord& record = aPosition->second;
  if (!IsFinal(record.state_)) {
    open_.erase(aPosition->first);
    return;
  }
  WallTime expiry = record.changedAt_ + record.request_.retention_;
  expiries_.erase({ expiry, record.version_ });
  if (answers_.erase(record.version_) > 0) {
    answerBytes_ -= record.answer_.body_.size();
  }
}

Bytes
Ledger::Query(BytesView aQuery) const
{
  auto query = ReadQuery(aQuery);
  std::vector<LedgerRecord> found;
  if (query && std::holds_alternative<LedgerFilter>(*query)) {
    found = List(std::get<LedgerFilter>(*query));
  } else if (query) {
    const auto& lookup = std::get<LedgerLookup>(*query);
    auto it = records_.find({ lookup.organisation_, lookup.key_ });
    if (it != records_.end()) {
      found.push_back(it->second);
    }
  }
  return WriteRecords(found);
}

/// Lists records without their bodies, which a lookup of a single key returns.
/// Request recovery lists unfinished records every second, so these are found
/// through `open_` instead of a scan of all records.
std::vector<LedgerRecord>
Ledger::List(const LedgerFilter& aFilter) const
{
  std::vector<LedgerRecord> found;
  auto appendIfMatching = [&](const LedgerRecord& aRecord) {
    bool isWanted = aFilter.organisation_.empty() ||
                    aFilter.organisation_ == aRecord.organisation_;
    if (isWanted && aRecord.state_ == aFilter.state_) {
      found.push_back(aRecord);
      found.back().request_.body_.clear();
      found.back().answer_.body_.clear();
    }
    return found.size() < aFilter.limit_;
  };
  if (IsFinal(aFilter.state_)) {
    for (auto it = records_.begin();
         it != records_.end() && appendIfMatching(it->second);
         ++it) {
    }
  } else {
    for (auto it = open_.begin();
         it != open_.end() && appendIfMatching(records_.at(*it));
         ++it) {
    }
  }
  return found;
}

Bytes
Ledger::TakeSnapshot() const
{
  LedgerSnapshot snapshot;
  snapshot.records_.reserve(records_.size());
  for (const auto& [key, record] : records_) {
    snapshot.records_.push_back(record);
  }
  snapshot.lastVersion_ = lastVersion_;
  snapshot.time_ = time_;
  return WriteLedgerSnapshot(snapshot);
}

void
Ledger::InstallSnapshot(BytesView aSnapshot)
{
  auto snapshot = ReadLedgerSnapshot(aSnapshot);
  if (!snapshot) {
    throw std::runtime_error("the ledger snapshot can't be decoded");
  }
  *this = Ledger(limits_);
  lastVersion_ = snapshot->lastVersion_;
  time_ = snapshot->time_;
  for (auto& record : snapshot->records_) {
    IndexKey key(record.organisation_, record.key_);
    Index(records_.emplace(std::move(key), std::move(record)).first);
  }
}

} // namespace tanagerstall
