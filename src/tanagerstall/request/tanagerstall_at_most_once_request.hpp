#ifndef TANAGERSTALL_AT_MOST_ONCE_REQUEST_HPP_INCLUDED
#define TANAGERSTALL_AT_MOST_ONCE_REQUEST_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_ledger_record.hpp"

#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>

namespace tanagerstall {

// What a AtMostOnceRequest asks for. Each action is followed by one event.

/// Followed by LedgerReply.
struct ProposeCommand
{
  LedgerCommand command_;
};
/// Reads the record; followed by LedgerReply.
struct LookUp
{
  std::string organisation_{};
  std::string key_{};
};
/// Chooses an upstream and opens a fresh connection to it; followed by
/// UpstreamReady or NoUpstream. It is kept for SendRequest, and given up by
/// any action but ProposeCommand, Pause and SendRequest.
struct PrepareUpstream
{
  /// The only one that may be chosen; empty for any.
  std::string requiredUpstream_;
};
/// Sends to the prepared upstream; followed by AttemptAnswered or AttemptLost.
struct SendRequest
{};
/// Followed by Woken.
struct Pause
{
  Duration duration_{};
};

/// How the request ends for its caller.
enum class AtMostOnceOutcome
{
  Answered,
  /// It was answered, but the answer is no longer kept.
  AnswerDropped,
  NotRun,
  Unknown,
  /// It is durable and will be run without its caller.
  Pending,
  Conflict,
  LedgerFull
};

struct Finish
{
  AtMostOnceOutcome outcome_ = AtMostOnceOutcome::Unknown;
  RecordedAnswer answer_{};
  /// The Complete command of an answer that could not be recorded yet.
  std::optional<LedgerCommand> unrecordedCompletion_{};
};

using AtMostOnceAction = std::
  variant<ProposeCommand, LookUp, PrepareUpstream, SendRequest, Pause, Finish>;

/// After an error the command may or may not be applied, also later.
struct LedgerReply
{
  std::optional<LedgerResult> result_;
};
struct UpstreamReady
{
  std::string id_;
  std::uint64_t incarnation_ = 0;
  bool deduplicates_ = false;
};
struct NoUpstream
{};
struct AttemptAnswered
{
  RecordedAnswer answer_;
};
/// Bytes may have been sent and no whole answer came.
struct AttemptLost
{
  std::string reason_;
};
struct PauseEnded
{};

using AtMostOnceEvent = std::variant<LedgerReply,
                                     UpstreamReady,
                                     NoUpstream,
                                     AttemptAnswered,
                                     AttemptLost,
                                     PauseEnded>;

struct AtMostOnceRequestSettings
{
  /// This entry, as "id/incarnation".
  std::string entry_;
  /// From the proposal of a grant to sending; a longer time means that this
  /// process was frozen or cut off.
  Duration maxGrantAge_ = std::chrono::seconds(2);
  /// How long the holder of a grant has to be absent before its attempt
  /// counts as lost.
  Duration holderAbsenceTimeout_ = std::chrono::seconds(10);
  /// How long to try to record an answer, or a withdrawal, before the caller
  /// hears without it.
  Duration recordTimeout_ = std::chrono::seconds(10);
  Duration minPause_ = std::chrono::milliseconds(20);
  Duration maxPause_ = std::chrono::milliseconds(500);
  /// Failures to find an upstream before a waiting caller is refused.
  unsigned maxUpstreamSearches_ = 6;
  /// How often a deduplicating upstream is asked again.
  unsigned maxResends_ = 3;
};

/// The protocol of one non-idempotent request at one entry. A plain state
/// machine: it takes events and the time and gives the next action.
class AtMostOnceRequest
{
public:
  struct Hooks
  {
    /// Whether the prepared upstream may still get new work.
    std::function<bool()> isUpstreamPresent_;
    /// Whether an entry, as "id/incarnation", is heard of.
    std::function<bool(const std::string&)> isAlive_;
    /// Whether this entry is to begin no more attempts.
    std::function<bool()> isDraining_;
  };

  /// `aAccept` holds organisation, key and request. `aNonce` is unique for
  /// each AtMostOnceRequest.
  AtMostOnceRequest(AtMostOnceRequestSettings aSettings,
                    Hooks aHooks,
                    LedgerCommand aAccept,
                    std::string aNonce,
                    TimePoint aDeadline);

  /// Begins with recording a caller's request.
  AtMostOnceAction Start();
  /// Begins with a record whose caller does not wait.
  AtMostOnceAction Resume(const LedgerRecord& aRecord, TimePoint aNow);
  AtMostOnceAction On(const AtMostOnceEvent& aEvent, TimePoint aNow);
  /// The caller is gone: begin no attempt from now on.
  void ExpireDeadline(TimePoint aNow);

private:
  AtMostOnceAction Handle(const LedgerReply& aReply, TimePoint aNow);
  AtMostOnceAction Handle(const UpstreamReady& aUpstream, TimePoint aNow);
  AtMostOnceAction Handle(const NoUpstream& aNone, TimePoint aNow);
  AtMostOnceAction Handle(const AttemptAnswered& aAnswer, TimePoint aNow);
  AtMostOnceAction Handle(const AttemptLost& aLost, TimePoint aNow);
  AtMostOnceAction Handle(const PauseEnded& aPauseEnded, TimePoint aNow);

  AtMostOnceAction HandleNoReply(TimePoint aNow);
  AtMostOnceAction HandleAccept(const LedgerResult& aResult, TimePoint aNow);
  AtMostOnceAction HandleGrant(const LedgerResult& aResult, TimePoint aNow);
  AtMostOnceAction HandleComplete(const LedgerResult& aResult);

  AtMostOnceAction Decide(const LedgerRecord& aRecord, TimePoint aNow);
  AtMostOnceAction DecideAccepted(const LedgerRecord& aRecord, TimePoint aNow);
  AtMostOnceAction DecideGranted(const LedgerRecord& aRecord, TimePoint aNow);
  AtMostOnceAction DecideUnknown(const LedgerRecord& aRecord, TimePoint aNow);

  AtMostOnceAction Propose(LedgerAction aAction, std::uint64_t aVersion);
  bool IsLeftToAnotherEntry() const;
  AtMostOnceAction PauseThen(AtMostOnceAction aNext);
  AtMostOnceAction End(AtMostOnceOutcome aOutcome) const;

  AtMostOnceRequestSettings settings_;
  Hooks hooks_;
  LedgerCommand command_;
  LedgerRequest request_;
  std::string nonce_;
  TimePoint deadline_;
  bool isResumed_ = false;
  bool isLookingUp_ = false;
  std::uint64_t version_ = 0;
  unsigned proposals_ = 0;
  unsigned upstreamSearches_ = 0;
  unsigned resends_ = 0;
  TimePoint proposedAt_{};
  TimePoint recordDeadline_{};
  std::optional<TimePoint> holderAbsentSince_;
  RecordedAnswer answer_;
  Duration pause_;
  std::optional<AtMostOnceAction> afterPause_;
};

} // namespace tanagerstall

#endif
