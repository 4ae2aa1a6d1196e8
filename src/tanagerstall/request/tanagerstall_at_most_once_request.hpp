#ifndef TANAGERSTALL_AT_MOST_ONCE_REQUEST_HPP_INCLUDED
#define TANAGERSTALL_AT_MOST_ONCE_REQUEST_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_ledger_record.hpp"

#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>

namespace tanagerstall {

// Actions that an AtMostOnceRequest returns. The caller performs each one and
// passes the resulting event to On().

/// Proposes a command to the ledger; followed by LedgerReply.
struct ProposeCommand
{
  LedgerCommand command_;
};
/// Reads the record of a key; followed by LedgerReply.
struct LookUp
{
  std::string organisation_{};
  std::string key_{};
};
/// Chooses an upstream and opens a new connection to it; followed by
/// UpstreamReady or NoUpstream. The connection is held for SendRequest; any
/// other action except ProposeCommand and Pause closes it.
struct PrepareUpstream
{
  /// Id of the only upstream that may be chosen; empty for any.
  std::string requiredUpstream_;
};
/// Sends the request to the prepared upstream; followed by AttemptAnswered or
/// AttemptLost.
struct SendRequest
{};
/// Waits; followed by PauseEnded.
struct Pause
{
  Duration duration_{};
};

/// The outcome of a request as its caller sees it.
enum class AtMostOnceOutcome
{
  Answered,
  /// The request was answered, but the answer is no longer stored.
  AnswerDropped,
  NotRun,
  Unknown,
  /// The request is recorded and will be run asynchronously.
  Pending,
  /// The key is already used by a different request.
  Conflict,
  LedgerFull
};

/// Ends the request; no event follows.
struct Finish
{
  AtMostOnceOutcome outcome_ = AtMostOnceOutcome::Unknown;
  RecordedAnswer answer_{};
  /// The Complete command, if the answer couldn't be recorded in time.
  std::optional<LedgerCommand> unrecordedCompletion_{};
};

using AtMostOnceAction = std::
  variant<ProposeCommand, LookUp, PrepareUpstream, SendRequest, Pause, Finish>;

/// No result means an error: the command may or may not have been applied, and
/// may still be applied later.
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
/// Bytes may have been sent, but no whole answer was received.
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
  /// Identifies this entry as "id/incarnation".
  std::string entry_;
  /// The longest time from proposing a grant to sending the request. If more
  /// has passed, the process was suspended or disconnected, and the grant is
  /// returned instead of used.
  Duration maxGrantAge_ = std::chrono::seconds(2);
  /// How long the entry that holds a grant must be absent before its attempt
  /// counts as lost.
  Duration holderAbsenceTimeout_ = std::chrono::seconds(10);
  /// How long to try to record an answer or a withdrawal before the caller
  /// gets a response without it.
  Duration recordTimeout_ = std::chrono::seconds(10);
  /// Bounds of the exponential backoff between retries.
  Duration minPause_ = std::chrono::milliseconds(20);
  Duration maxPause_ = std::chrono::milliseconds(500);
  /// Failed searches for an upstream before a waiting caller is refused.
  unsigned maxUpstreamSearches_ = 6;
  /// How often a request with an unknown outcome is sent again to an upstream
  /// that deduplicates.
  unsigned maxResends_ = 3;
};

/// The protocol of one non-idempotent request at one entry, as a state machine
/// without I/O: it receives events and the time and returns the next action.
class AtMostOnceRequest
{
public:
  struct Hooks
  {
    /// Whether the prepared upstream still accepts new requests.
    std::function<bool()> isUpstreamPresent_;
    /// Whether an entry, as "id/incarnation", is present.
    std::function<bool(const std::string&)> isAlive_;
    /// Whether this entry is draining; it then starts no more attempts for
    /// asynchronous requests.
    std::function<bool()> isDraining_;
  };

  /// `aAccept` holds organisation, key and request. `aNonce` must be unique
  /// for each AtMostOnceRequest.
  AtMostOnceRequest(AtMostOnceRequestSettings aSettings,
                    Hooks aHooks,
                    LedgerCommand aAccept,
                    std::string aNonce,
                    TimePoint aDeadline);

  /// Starts with recording a caller's request.
  AtMostOnceAction Start();
  /// Starts from the record of an asynchronous request.
  AtMostOnceAction Resume(const LedgerRecord& aRecord, TimePoint aNow);
  /// Handles the event that followed the last action.
  AtMostOnceAction On(const AtMostOnceEvent& aEvent, TimePoint aNow);
  /// Moves the deadline to `aNow`, so that no further attempt starts. Used
  /// when the caller has disconnected.
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
  /// Whether the request runs asynchronously, started by Resume().
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
