#include "tanagerstall/process/raft/tanagerstall_raft.hpp"

#include <algorithm>

namespace tanagerstall {

Raft::Raft(MemberKey aSelf,
           RaftSettings aSettings,
           RaftStart aStart,
           std::uint64_t aSeed,
           TimePoint aNow)
  : self_(aSelf)
  , settings_(std::move(aSettings))
  , log_(aStart)
  , hardState_(aStart.hardState_)
  , emittedHardState_(aStart.hardState_)
  , random_(aSeed)
  , lastLeaderMessageAt_(aNow - 2 * settings_.electionTimeout_)
{
  commit_ = log_.Snapshot() ? log_.Snapshot()->index_ : 0;
  applied_ = commit_;
  ResetElection(aNow);
}

bool
Raft::IsMember(MemberKey aKey) const
{
  const auto& members = log_.Members();
  return std::any_of(members.begin(), members.end(), [&](const Member& aIt) {
    return aIt.key_ == aKey;
  });
}

bool
Raft::IsVoter(MemberKey aKey) const
{
  const auto& members = log_.Members();
  return std::any_of(members.begin(), members.end(), [&](const Member& aIt) {
    return aIt.key_ == aKey && aIt.isVoter_;
  });
}

bool
Raft::HasQuorum(const std::function<bool(MemberKey)>& aHas) const
{
  std::size_t voters = 0;
  std::size_t matching = 0;
  for (const auto& member : log_.Members()) {
    if (member.isVoter_) {
      ++voters;
      matching += aHas(member.key_) ? 1 : 0;
    }
  }
  return matching > voters / 2;
}

bool
Raft::IsIgnored(const RaftMessage& aMessage) const
{
  if (aMessage.to_ != self_) {
    return true;
  }
  if (IsMember(aMessage.from_) || log_.Members().empty()) {
    return false;
  }
  // If this member has not received the entry that adds the sender yet, the
  // sender's log is newer. The log of a sender with an empty or old disk isn't.
  std::pair last(aMessage.indexTerm_, aMessage.index_);
  if (!aMessage.entries_.empty()) {
    last = { aMessage.entries_.back().term_, aMessage.entries_.back().index_ };
  }
  return last <= std::pair(log_.LastTerm(), log_.LastIndex());
}

void
Raft::BecomeFollower(Term aTerm, MemberKey aLeader)
{
  if (aTerm > hardState_.term_) {
    hardState_ = { aTerm, 0 };
  }
  if (role_ == RaftRole::Leader) {
    output_.hasLostLeadership_ = true;
    pendingReads_.clear();
    peers_.clear();
  }
  role_ = RaftRole::Follower;
  leader_ = aLeader;
  hasSeenLeader_ = hasSeenLeader_ || aLeader != 0;
}

void
Raft::Tick(TimePoint aNow)
{
  if (role_ == RaftRole::Leader) {
    bool hasResponsiveQuorum = HasQuorum([&](MemberKey aKey) {
      return aKey == self_ ||
             aNow - peers_[aKey].lastReplyAt_ < settings_.electionTimeout_;
    });
    if (!hasResponsiveQuorum) {
      BecomeFollower(hardState_.term_, 0);
      ResetElection(aNow);
      return;
    }
    if (aNow >= heartbeatAt_) {
      heartbeatAt_ = aNow + settings_.heartbeat_;
      isBroadcastDue_ = true;
    }
    return;
  }
  bool isOnlyVoter =
    IsVoter(self_) && HasQuorum([&](MemberKey aKey) { return aKey == self_; });
  if (isOnlyVoter || aNow >= electionAt_) {
    ResetElection(aNow);
    if (IsVoter(self_)) {
      Campaign(RaftRole::PreCandidate, aNow);
    } else {
      leader_ = 0;
    }
  }
}

void
Raft::Send(RaftMessage aMessage)
{
  aMessage.from_ = self_;
  output_.messages_.push_back(std::move(aMessage));
}

RaftMessage
Raft::Reply(const RaftMessage& aTo, MessageKind aKind) const
{
  RaftMessage reply;
  reply.kind_ = aKind;
  reply.to_ = aTo.from_;
  reply.term_ = hardState_.term_;
  reply.round_ = aTo.round_;
  return reply;
}

void
Raft::Receive(const RaftMessage& aMessage, TimePoint aNow)
{
  if (IsIgnored(aMessage)) {
    return;
  }
  if (aMessage.kind_ == MessageKind::PreVote) {
    OnPreVote(aMessage, aNow);
    return;
  }
  if (aMessage.kind_ == MessageKind::PreVoteReply) {
    OnPreVoteReply(aMessage, aNow);
    return;
  }
  bool isFromLeader = aMessage.kind_ == MessageKind::Append ||
                      aMessage.kind_ == MessageKind::Snapshot;
  if (aMessage.term_ > hardState_.term_) {
    BecomeFollower(aMessage.term_, isFromLeader ? aMessage.from_ : 0);
  }
  if (aMessage.term_ < hardState_.term_) {
    if (isFromLeader) {
      // The round is from an earlier term. The sender may lead this term in a
      // new process, whose rounds began at 0 again, so it must not be returned.
      RaftMessage reply = Reply(aMessage, MessageKind::AppendReply);
      reply.round_ = 0;
      Send(std::move(reply));
    } else if (aMessage.kind_ == MessageKind::Vote) {
      Send(Reply(aMessage, MessageKind::VoteReply));
    }
    return;
  }
  if (isFromLeader) {
    if (role_ == RaftRole::Leader) {
      return;
    }
    BecomeFollower(aMessage.term_, aMessage.from_);
    lastLeaderMessageAt_ = aNow;
    ResetElection(aNow);
  }
  Dispatch(aMessage, aNow);
}

void
Raft::Dispatch(const RaftMessage& aMessage, TimePoint aNow)
{
  switch (aMessage.kind_) {
    case MessageKind::Vote:
      OnVote(aMessage, aNow);
      break;
    case MessageKind::VoteReply:
      OnVoteReply(aMessage, aNow);
      break;
    case MessageKind::Append:
      OnAppend(aMessage, aNow);
      break;
    case MessageKind::AppendReply:
      OnAppendReply(aMessage, aNow);
      break;
    case MessageKind::Snapshot:
      OnSnapshot(aMessage, aNow);
      break;
    case MessageKind::SnapshotReply:
      OnSnapshotReply(aMessage, aNow);
      break;
    case MessageKind::PreVote:
    case MessageKind::PreVoteReply:
      break;
  }
}

void
Raft::OnAppend(const RaftMessage& aMessage, TimePoint /*aNow*/)
{
  auto reply = Reply(aMessage, MessageKind::AppendReply);
  auto held = log_.TermAt(aMessage.index_);
  // Entries before the base entry are committed, so they match the leader's.
  bool agrees =
    aMessage.index_ < log_.BaseIndex() || held == aMessage.indexTerm_;
  if (!agrees) {
    reply.index_ = LastPossibleMatch(aMessage.index_);
    Send(reply);
    return;
  }
  StoreEntries(aMessage);
  reply.isAccepted_ = true;
  reply.index_ = aMessage.index_ + aMessage.entries_.size();
  commit_ = std::max(commit_, std::min(aMessage.commit_, reply.index_));
  Send(reply);
}

LogIndex
Raft::LastPossibleMatch(LogIndex aIndex) const
{
  if (aIndex > log_.LastIndex()) {
    return log_.LastIndex();
  }
  // The leader has another term at this index, so that none of this member's
  // entries of the same term need to match: skip all of them.
  auto term = log_.TermAt(aIndex);
  LogIndex index = aIndex;
  while (index > commit_ && log_.TermAt(index) == term) {
    --index;
  }
  return index;
}

void
Raft::StoreEntries(const RaftMessage& aMessage)
{
  for (const auto& entry : aMessage.entries_) {
    if (entry.index_ <= log_.BaseIndex() ||
        log_.TermAt(entry.index_) == entry.term_) {
      continue;
    }
    log_.TruncateAndAppend(entry);
    output_.entries_.push_back(entry);
  }
}

void
Raft::OnSnapshot(const RaftMessage& aMessage, TimePoint /*aNow*/)
{
  auto reply = Reply(aMessage, MessageKind::SnapshotReply);
  reply.index_ = aMessage.index_;
  // A snapshot must not replace entries that this member already confirmed.
  if (aMessage.index_ <= commit_ ||
      log_.TermAt(aMessage.index_) == aMessage.indexTerm_) {
    commit_ = std::max(commit_, aMessage.index_);
    reply.offset_ = aMessage.total_;
    reply.isAccepted_ = true;
  } else {
    StoreChunk(aMessage, reply);
  }
  Send(reply);
}

void
Raft::StoreChunk(const RaftMessage& aMessage, RaftMessage& aReply)
{
  if (incomingSnapshot_.index_ != aMessage.index_ ||
      incomingSnapshot_.term_ != aMessage.indexTerm_) {
    incomingSnapshot_ = {
      aMessage.index_, aMessage.indexTerm_, aMessage.members_, {}
    };
  }
  if (aMessage.offset_ == incomingSnapshot_.state_.size()) {
    incomingSnapshot_.state_.insert(incomingSnapshot_.state_.end(),
                                    aMessage.chunk_.begin(),
                                    aMessage.chunk_.end());
  }
  aReply.offset_ = incomingSnapshot_.state_.size();
  if (aReply.offset_ < aMessage.total_) {
    return;
  }
  aReply.isAccepted_ = true;
  output_.installedSnapshot_ =
    std::make_shared<RaftSnapshot>(std::exchange(incomingSnapshot_, {}));
  output_.entries_.clear();
  log_.Install(output_.installedSnapshot_);
  commit_ = aMessage.index_;
  applied_ = commit_;
}

RaftOutput
Raft::TakeOutput()
{
  if (role_ == RaftRole::Leader) {
    AdvanceCommit();
    if (isBroadcastDue_) {
      Broadcast();
    }
  }
  for (; applied_ < commit_; ++applied_) {
    output_.committed_.push_back(log_.At(applied_ + 1));
    bytesSinceSnapshot_ += log_.At(applied_ + 1).command_.size();
  }
  if (role_ == RaftRole::Leader) {
    ConfirmReads();
    if (!IsVoter(self_) && log_.MembersIndex() <= commit_) {
      BecomeFollower(hardState_.term_, 0);
    }
  }
  if (hardState_ != emittedHardState_) {
    emittedHardState_ = hardState_;
    output_.hardState_ = hardState_;
  }
  return std::exchange(output_, {});
}

bool
Raft::IsSnapshotDue() const
{
  LogIndex since = log_.Snapshot() ? log_.Snapshot()->index_ : 0;
  return applied_ - since >= settings_.snapshotEntries_ ||
         bytesSinceSnapshot_ >= settings_.snapshotBytes_;
}

SharedSnapshot
Raft::Compact(Bytes aState)
{
  auto snapshot =
    std::make_shared<RaftSnapshot>(RaftSnapshot{ applied_,
                                                 *log_.TermAt(applied_),
                                                 log_.MembersAt(applied_),
                                                 std::move(aState) });
  LogIndex keptAfter = applied_;
  std::size_t bytes = 0;
  while (keptAfter > log_.BaseIndex() &&
         applied_ - keptAfter < settings_.keptEntries_) {
    bytes += log_.At(keptAfter).command_.size();
    if (bytes > settings_.keptBytes_) {
      break;
    }
    --keptAfter;
  }
  log_.Compact(snapshot, keptAfter);
  bytesSinceSnapshot_ = 0;
  return snapshot;
}

} // namespace tanagerstall
