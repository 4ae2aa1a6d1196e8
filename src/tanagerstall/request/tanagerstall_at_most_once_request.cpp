#include "tanagerstall/request/tanagerstall_at_most_once_request.hpp"

#include <algorithm>

namespace tanagerstall {

AtMostOnceRequest::AtMostOnceRequest(AtMostOnceRequestSettings aSettings,
                                     Hooks aHooks,
                                     LedgerCommand aAccept,
                                     std::string aNonce,
                                     TimePoint aDeadline)
  : settings_(std::move(aSettings))
  , hooks_(std::move(aHooks))
  , command_(std::move(aAccept))
  , request_(command_.request_)
  , nonce_(std::move(aNonce))
  , deadline_(aDeadline)
  , pause_(settings_.minPause_)
{
}

AtMostOnceAction
AtMostOnceRequest::Start()
{
  return Propose(LedgerAction::Accept, 0);
}

AtMostOnceAction
AtMostOnceRequest::Resume(const LedgerRecord& aRecord, TimePoint aNow)
{
  isResumed_ = true;
  return Decide(aRecord, aNow);
}

void
AtMostOnceRequest::ExpireDeadline(TimePoint aNow)
{
  deadline_ = std::min(deadline_, aNow);
}

AtMostOnceAction
AtMostOnceRequest::On(const AtMostOnceEvent& aEvent, TimePoint aNow)
{
  return std::visit([&](const auto& aKind) { return Handle(aKind, aNow); },
                    aEvent);
}

AtMostOnceAction
AtMostOnceRequest::Handle(const LedgerReply& aReply, TimePoint aNow)
{
  if (!aReply.result_) {
    return HandleNoReply(aNow);
  }
  const LedgerResult& result = *aReply.result_;
  if (isLookingUp_) {
    return Decide(result.record_, aNow);
  }
  pause_ = settings_.minPause_;
  switch (command_.action_) {
    case LedgerAction::Accept:
      return HandleAccept(result, aNow);
    case LedgerAction::Grant:
      return HandleGrant(result, aNow);
    case LedgerAction::Complete:
      return HandleComplete(result);
    default:
      return Decide(result.record_, aNow);
  }
}

/// It is unknown whether the command was applied, so the same command is
/// proposed again. The ledger recognises the copy by its version or nonce.
AtMostOnceAction
AtMostOnceRequest::HandleNoReply(TimePoint aNow)
{
  if (isLookingUp_) {
    bool hasExpired = aNow >= deadline_;
    return hasExpired
             ? End(AtMostOnceOutcome::Unknown)
             : PauseThen(LookUp{ command_.organisation_, command_.key_ });
  }
  if (command_.action_ == LedgerAction::Complete && aNow >= recordDeadline_) {
    return Finish{ AtMostOnceOutcome::Answered, answer_, command_ };
  }
  if (command_.action_ != LedgerAction::Complete && IsLeftToAnotherEntry()) {
    return End(AtMostOnceOutcome::Pending);
  }
  if (command_.action_ != LedgerAction::Complete && !isResumed_ &&
      aNow >= std::max(deadline_, recordDeadline_)) {
    return End(AtMostOnceOutcome::Unknown);
  }
  return PauseThen(ProposeCommand{ command_ });
}

AtMostOnceAction
AtMostOnceRequest::HandleAccept(const LedgerResult& aResult, TimePoint aNow)
{
  if (aResult.isConflict_) {
    return End(AtMostOnceOutcome::Conflict);
  }
  if (aResult.isFull_) {
    return End(AtMostOnceOutcome::LedgerFull);
  }
  const LedgerRecord& record = aResult.record_;
  if (record.state_ == RequestState::Withdrawn && command_.version_ == 0) {
    return Propose(LedgerAction::Accept, record.version_);
  }
  bool isOpen = record.state_ == RequestState::Accepted ||
                record.state_ == RequestState::Granted;
  if (request_.isAsync_ && isOpen) {
    return End(AtMostOnceOutcome::Pending);
  }
  return Decide(record, aNow);
}

AtMostOnceAction
AtMostOnceRequest::HandleGrant(const LedgerResult& aResult, TimePoint aNow)
{
  const LedgerRecord& record = aResult.record_;
  bool isOurs = record.state_ == RequestState::Granted &&
                record.grant_.nonce_ == command_.grant_.nonce_;
  if (!isOurs) {
    return Decide(record, aNow);
  }
  version_ = record.version_;
  bool isFresh = aNow - proposedAt_ <= settings_.maxGrantAge_;
  if (!isFresh || aNow >= deadline_ || !hooks_.isUpstreamPresent_()) {
    recordDeadline_ = aNow + settings_.recordTimeout_;
    return Propose(LedgerAction::Release, version_);
  }
  return SendRequest{};
}

AtMostOnceAction
AtMostOnceRequest::HandleComplete(const LedgerResult& aResult)
{
  const LedgerRecord& record = aResult.record_;
  bool isOther = !aResult.isApplied_ && !record.isAnswerDropped_ &&
                 record.state_ == RequestState::Answered;
  return Finish{ AtMostOnceOutcome::Answered,
                 isOther ? record.answer_ : answer_,
                 std::nullopt };
}

AtMostOnceAction
AtMostOnceRequest::Handle(const UpstreamReady& aUpstream, TimePoint aNow)
{
  proposedAt_ = aNow;
  command_.grant_ = { settings_.entry_,
                      nonce_ + "." + std::to_string(++proposals_),
                      aUpstream.id_,
                      aUpstream.incarnation_,
                      aUpstream.deduplicates_ };
  return Propose(LedgerAction::Grant, version_);
}

AtMostOnceAction
AtMostOnceRequest::Handle(const NoUpstream& /*aNone*/, TimePoint aNow)
{
  ++upstreamSearches_;
  if (!isResumed_ && upstreamSearches_ >= settings_.maxUpstreamSearches_) {
    ExpireDeadline(aNow);
  }
  return PauseThen(LookUp{ command_.organisation_, command_.key_ });
}

AtMostOnceAction
AtMostOnceRequest::Handle(const AttemptAnswered& aAnswer, TimePoint aNow)
{
  answer_ = aAnswer.answer_;
  recordDeadline_ = aNow + settings_.recordTimeout_;
  command_.answer_ = answer_;
  return Propose(LedgerAction::Complete, version_);
}

AtMostOnceAction
AtMostOnceRequest::Handle(const AttemptLost& aLost, TimePoint aNow)
{
  recordDeadline_ = aNow + settings_.recordTimeout_;
  command_.reason_ = aLost.reason_;
  return Propose(LedgerAction::MarkUnknown, version_);
}

AtMostOnceAction
AtMostOnceRequest::Handle(const PauseEnded& /*aPauseEnded*/, TimePoint /*aNow*/)
{
  return *std::exchange(afterPause_, std::nullopt);
}

AtMostOnceAction
AtMostOnceRequest::Decide(const LedgerRecord& aRecord, TimePoint aNow)
{
  switch (aRecord.state_) {
    case RequestState::Accepted:
      return DecideAccepted(aRecord, aNow);
    case RequestState::Granted:
      return DecideGranted(aRecord, aNow);
    case RequestState::Unknown:
      return DecideUnknown(aRecord, aNow);
    case RequestState::Answered:
      return Finish{ aRecord.isAnswerDropped_ ? AtMostOnceOutcome::AnswerDropped
                                              : AtMostOnceOutcome::Answered,
                     aRecord.answer_,
                     std::nullopt };
    case RequestState::Withdrawn:
      return End(AtMostOnceOutcome::NotRun);
    case RequestState::Absent:
      break;
  }
  return End(AtMostOnceOutcome::Unknown);
}

AtMostOnceAction
AtMostOnceRequest::DecideAccepted(const LedgerRecord& aRecord, TimePoint aNow)
{
  version_ = aRecord.version_;
  holderAbsentSince_.reset();
  if (IsLeftToAnotherEntry() ||
      (aRecord.request_.isAsync_ && aNow >= deadline_)) {
    return End(AtMostOnceOutcome::Pending);
  }
  if (aNow >= deadline_) {
    recordDeadline_ = aNow + settings_.recordTimeout_;
    return Propose(LedgerAction::Withdraw, version_);
  }
  return PrepareUpstream{};
}

AtMostOnceAction
AtMostOnceRequest::DecideGranted(const LedgerRecord& aRecord, TimePoint aNow)
{
  bool isAlive = hooks_.isAlive_(aRecord.grant_.entry_);
  if (isAlive) {
    holderAbsentSince_.reset();
  } else if (!holderAbsentSince_) {
    holderAbsentSince_ = aNow;
  } else if (aNow - *holderAbsentSince_ >= settings_.holderAbsenceTimeout_) {
    recordDeadline_ = aNow + settings_.recordTimeout_;
    command_.reason_ = "the entry " + aRecord.grant_.entry_ + " was lost";
    return Propose(LedgerAction::MarkUnknown, aRecord.version_);
  }
  // The entry that holds the grant continues the request, or recovery does if
  // that entry is lost.
  if (isResumed_) {
    return End(AtMostOnceOutcome::Pending);
  }
  if (aNow >= deadline_) {
    return End(aRecord.request_.isAsync_ ? AtMostOnceOutcome::Pending
                                         : AtMostOnceOutcome::Unknown);
  }
  return PauseThen(LookUp{ command_.organisation_, command_.key_ });
}

AtMostOnceAction
AtMostOnceRequest::DecideUnknown(const LedgerRecord& aRecord, TimePoint aNow)
{
  version_ = aRecord.version_;
  if (!aRecord.grant_.deduplicates_ || aNow >= deadline_ ||
      IsLeftToAnotherEntry() || ++resends_ > settings_.maxResends_) {
    return End(AtMostOnceOutcome::Unknown);
  }
  return PrepareUpstream{ aRecord.grant_.upstream_ };
}

/// Whether this entry is draining and another one has to continue the request.
/// That applies to asynchronous requests only: a waiting caller is served to
/// the end.
bool
AtMostOnceRequest::IsLeftToAnotherEntry() const
{
  return isResumed_ && hooks_.isDraining_();
}

AtMostOnceAction
AtMostOnceRequest::Propose(LedgerAction aAction, std::uint64_t aVersion)
{
  isLookingUp_ = false;
  command_.action_ = aAction;
  command_.version_ = aVersion;
  if (aAction != LedgerAction::Accept) {
    command_.request_ = {};
  }
  return ProposeCommand{ command_ };
}

AtMostOnceAction
AtMostOnceRequest::PauseThen(AtMostOnceAction aNext)
{
  isLookingUp_ = std::holds_alternative<LookUp>(aNext);
  afterPause_ = std::move(aNext);
  Duration now = pause_;
  pause_ = std::min(pause_ * 2, settings_.maxPause_);
  return Pause{ now };
}

AtMostOnceAction
AtMostOnceRequest::End(AtMostOnceOutcome aOutcome) const
{
  return Finish{ aOutcome, {}, std::nullopt };
}

} // namespace tanagerstall
