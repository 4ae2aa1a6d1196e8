#ifndef TANAGERSTALL_LEDGER_RECORD_HPP_INCLUDED
#define TANAGERSTALL_LEDGER_RECORD_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerstall {

enum class RequestState
{
  Absent,
  /// Recorded; no attempt holds a grant.
  Accepted,
  /// One attempt holds the grant and may be sent or running.
  Granted,
  Answered,
  /// The attempt was lost and may have run.
  Unknown,
  /// Refused without having run; it runs only if the caller sends it again.
  Withdrawn
};

const char*
ToString(RequestState aState);

/// The upstream's answer as the ledger stores it.
struct RecordedAnswer
{
  int status_ = 0;
  std::string contentType_;
  std::string body_;

  bool operator==(const RecordedAnswer&) const = default;
};

/// A caller's request as the ledger stores it.
struct LedgerRequest
{
  std::string service_;
  std::string method_;
  std::string target_;
  std::uint64_t bodyHash_ = 0;
  /// Stored only for asynchronous requests, which another entry may have to
  /// run.
  std::string body_;
  std::string contentType_;
  /// The entry that accepted the request, as "id/incarnation".
  std::string entry_;
  /// Whether the caller received 202 instead of waiting for the answer.
  bool isAsync_ = false;
  /// When the caller stops waiting; the epoch if it has no deadline.
  WallTime deadline_{};
  /// How long the key and the answer are kept after the request finished.
  std::chrono::milliseconds retention_{ 24 * 3600 * 1000 };

  /// Whether service, method, target and body hash are equal. A key that is
  /// used again for a different request is a conflict.
  bool IsSameAs(const LedgerRequest& aOther) const;
};

/// The permission to send one attempt.
struct LedgerGrant
{
  /// The entry that holds the grant, as "id/incarnation".
  std::string entry_;
  /// Unique for each proposal, so that the proposer recognises its own grant.
  std::string nonce_;
  std::string upstream_;
  std::uint64_t upstreamIncarnation_ = 0;
  /// Whether the upstream runs each idempotency key at most once, however
  /// often it receives it.
  bool deduplicates_ = false;
};

/// One recorded non-idempotent request.
struct LedgerRecord
{
  std::string organisation_;
  std::string key_;
  LedgerRequest request_;
  RequestState state_ = RequestState::Absent;
  /// Taken from a counter over all records whenever the right to act on this
  /// record changes. While a grant is held it identifies the attempt;
  /// MarkUnknown keeps it, so that a late answer can still be recorded.
  std::uint64_t version_ = 0;
  LedgerGrant grant_;
  /// Whether an earlier attempt may have run.
  bool mayHaveRun_ = false;
  /// Why the outcome is unknown, for operators.
  std::string reason_;
  RecordedAnswer answer_;
  /// Whether the answer body was dropped to stay within `maxAnswerBytes_`.
  bool isAnswerDropped_ = false;
  WallTime acceptedAt_{};
  WallTime changedAt_{};
};

enum class LedgerAction
{
  Accept,
  Grant,
  /// Returns a grant for which nothing was sent.
  Release,
  /// Records the answer of an attempt.
  Complete,
  /// Records that the granted attempt was lost and may have run.
  MarkUnknown,
  /// Refuses a synchronous request that holds no grant.
  Withdraw,
  /// An operator's decision that a request in the state Unknown did run.
  SettleRan,
  /// An operator's decision that a request did not run.
  SettleNotRun
};

struct LedgerCommand
{
  std::string organisation_;
  std::string key_;
  /// The proposer's clock. Members of the group read no clock of their own, so
  /// that all of them reach the same state.
  WallTime time_{};
  LedgerAction action_ = LedgerAction::Accept;
  /// The version of the record that the proposer has seen; if the record has
  /// changed since, the command is not applied. 0 for the first Accept and for
  /// settling.
  std::uint64_t version_ = 0;
  LedgerRequest request_;
  LedgerGrant grant_;
  RecordedAnswer answer_;
  std::string reason_;
};

/// The ledger's reply to a command.
struct LedgerResult
{
  /// Whether this command, or an earlier copy of the same grant, took effect.
  bool isApplied_ = false;
  /// The key is already used by a different request.
  bool isConflict_ = false;
  /// The ledger holds its maximum number of records.
  bool isFull_ = false;
  /// The command couldn't be decoded.
  bool isMalformed_ = false;
  /// The record after the command, without the request's body.
  LedgerRecord record_;
};

/// Which records to list.
struct LedgerFilter
{
  RequestState state_ = RequestState::Unknown;
  /// Empty for all organisations.
  std::string organisation_;
  std::uint32_t limit_ = 1000;
};

/// The complete state of a ledger.
struct LedgerSnapshot
{
  std::vector<LedgerRecord> records_;
  std::uint64_t lastVersion_ = 0;
  WallTime time_{};
};

} // namespace tanagerstall

#endif
