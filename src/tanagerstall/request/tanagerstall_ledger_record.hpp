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
  /// Recorded; no attempt is allowed yet.
  Accepted,
  /// One attempt may be on its way or running.
  Granted,
  Answered,
  /// The attempt was lost after it may have run.
  Unknown,
  /// Refused as not run; it runs again only if the caller resends it.
  Withdrawn
};

const char*
ToString(RequestState aState);

struct RecordedAnswer
{
  int status_ = 0;
  std::string contentType_;
  std::string body_;

  bool operator==(const RecordedAnswer&) const = default;
};

/// What a caller asked for.
struct LedgerRequest
{
  std::string service_;
  std::string method_;
  std::string target_;
  std::uint64_t bodyHash_ = 0;
  /// Kept for a request that another entry may have to run: one whose caller
  /// does not wait.
  std::string body_;
  std::string contentType_;
  /// The entry that took it in, as "id/incarnation".
  std::string entry_;
  /// Whether the caller was told that it is durable and does not wait.
  bool isAsync_ = false;
  /// When its caller gives up; the epoch for never.
  WallTime deadline_{};
  /// For how long its key and answer are kept.
  std::chrono::milliseconds retention_{ 24 * 3600 * 1000 };

  /// Whether two requests ask for the same.
  bool IsSameAs(const LedgerRequest& aOther) const;
};

/// The permission for one attempt.
struct LedgerGrant
{
  /// The holder, as "id/incarnation".
  std::string entry_;
  /// Unique for each proposal, so that its sender knows its own grant.
  std::string nonce_;
  std::string upstream_;
  std::uint64_t upstreamIncarnation_ = 0;
  /// Whether the upstream runs a key once however often it is asked.
  bool deduplicates_ = false;
};

/// One accepted non-idempotent request.
struct LedgerRecord
{
  std::string organisation_;
  std::string key_;
  LedgerRequest request_;
  RequestState state_ = RequestState::Absent;
  /// Grows with every change of who may act next, over all records. In the
  /// state Granted and after it, the number of the newest attempt.
  std::uint64_t version_ = 0;
  LedgerGrant grant_;
  /// Whether an earlier attempt may have run.
  bool mayHaveRun_ = false;
  std::string reason_;
  RecordedAnswer answer_;
  /// Whether the answer was dropped to stay within the bound of bytes.
  bool isAnswerDropped_ = false;
  WallTime acceptedAt_{};
  WallTime changedAt_{};
};

enum class LedgerAction
{
  Accept,
  Grant,
  /// Gives a grant back of which nothing was sent.
  Release,
  Complete,
  MarkUnknown,
  Withdraw,
  /// An operator's word on a request in the state Unknown.
  SettleRan,
  SettleNotRun
};

struct LedgerCommand
{
  std::string organisation_;
  std::string key_;
  /// Of the proposer; members of the group read no clock, so that all of them
  /// come to the same state.
  WallTime time_{};
  LedgerAction action_ = LedgerAction::Accept;
  /// The version of the record that the command is about; a record that has
  /// changed since is left alone. 0 for the first Accept and for settling.
  std::uint64_t version_ = 0;
  LedgerRequest request_;
  LedgerGrant grant_;
  RecordedAnswer answer_;
  std::string reason_;
};

/// What the ledger says after a command.
struct LedgerResult
{
  /// Whether the record is now as the command wanted, by this command.
  bool isApplied_ = false;
  /// The key was used with another request.
  bool isConflict_ = false;
  /// There are too many records to take in another one.
  bool isFull_ = false;
  bool isMalformed_ = false;
  /// The record after the command, without the request's body.
  LedgerRecord record_;
};

/// Which records to list.
struct LedgerFilter
{
  RequestState state_ = RequestState::Unknown;
  /// Empty for all.
  std::string organisation_;
  std::uint32_t limit_ = 1000;
};

/// All that a member of the group keeps.
struct LedgerSnapshot
{
  std::vector<LedgerRecord> records_;
  std::uint64_t lastVersion_ = 0;
  WallTime time_{};
};

} // namespace tanagerstall

#endif
