#include "tanagerstall/process/raft/tanagerstall_raft.hpp"

#include <algorithm>

namespace tanagerstall {

void
Raft::BecomeLeader(TimePoint aNow)
{
  role_ = RaftRole::Leader;
  leader_ = self_;
  hasSeenLeader_ = true;
  peers_.clear();
  pendingReads_.clear();
  for (const auto& member : log_.Members()) {
    peers_[member.key_].next_ = log_.LastIndex() + 1;
    peers_[member.key_].lastReplyAt_ = aNow;
    peers_[member.key_].refusedRound_ = round_;
  }
  heartbeatAt_ = aNow + settings_.heartbeat_;
  firstOfTerm_ = log_.LastIndex() + 1;
  Append(EntryKind::Empty, {}, {});
}

void
Raft::Append(EntryKind aKind, Bytes aCommand, Membership aMembers)
{
  LogEntry entry{ log_.LastIndex() + 1,
                  hardState_.term_,
                  aKind,
                  std::move(aCommand),
                  std::move(aMembers) };
  output_.entries_.push_back(entry);
  log_.TruncateAndAppend(std::move(entry));
  isBroadcastDue_ = true;
}

std::optional<LogIndex>
Raft::Propose(Bytes aCommand)
{
  if (role_ != RaftRole::Leader) {
    return std::nullopt;
  }
  Append(EntryKind::Command, std::move(aCommand), {});
  return log_.LastIndex();
}

std::optional<LogIndex>
Raft::ProposeMembers(Membership aMembers)
{
  if (role_ != RaftRole::Leader || log_.MembersIndex() > commit_ ||
      commit_ < firstOfTerm_) {
    return std::nullopt;
  }
  auto votersOf = [](const Membership& aFrom) {
    std::vector<MemberKey> voters;
    for (const auto& member : aFrom) {
      if (member.isVoter_) {
        voters.push_back(member.key_);
      }
    }
    std::sort(voters.begin(), voters.end());
    return voters;
  };
  auto before = votersOf(log_.Members());
  auto after = votersOf(aMembers);
  std::vector<MemberKey> changed;
  std::set_symmetric_difference(before.begin(),
                                before.end(),
                                after.begin(),
                                after.end(),
                                std::back_inserter(changed));
  if (after.empty() || changed.size() > 1) {
    return std::nullopt;
  }
  Append(EntryKind::Members, {}, std::move(aMembers));
  return log_.LastIndex();
}

bool
Raft::Read(std::uint64_t aRead)
{
  if (role_ != RaftRole::Leader) {
    return false;
  }
  // Entries that earlier leaders committed all precede this leader's first
  // entry, so the read waits until that one is applied.
  pendingReads_.push_back(
    { aRead, std::max(commit_, firstOfTerm_), round_ + 1 });
  isBroadcastDue_ = true;
  return true;
}

void
Raft::Broadcast()
{
  isBroadcastDue_ = false;
  ++round_;
  for (const auto& member : log_.Members()) {
    if (member.key_ == self_) {
      continue;
    }
    Peer& peer = peers_[member.key_];
    if (peer.snapshot_) {
      SendChunk(member.key_, peer);
    } else {
      SendAppend(member.key_, peer);
    }
  }
}

void
Raft::SendAppend(MemberKey aTo, Peer& aPeer)
{
  if (aPeer.next_ <= log_.BaseIndex()) {
    aPeer.snapshot_ = log_.Snapshot();
    aPeer.offset_ = 0;
    SendChunk(aTo, aPeer);
    return;
  }
  RaftMessage message;
  message.kind_ = MessageKind::Append;
  message.to_ = aTo;
  message.term_ = hardState_.term_;
  message.index_ = aPeer.next_ - 1;
  message.indexTerm_ = *log_.TermAt(message.index_);
  message.commit_ = commit_;
  message.round_ = round_;
  message.entries_ = log_.EntriesFrom(aPeer.next_, settings_.maxBatchBytes_);
  aPeer.next_ += message.entries_.size();
  Send(std::move(message));
}

void
Raft::SendChunk(MemberKey aTo, Peer& aPeer)
{
  const RaftSnapshot& snapshot = *aPeer.snapshot_;
  RaftMessage message;
  message.kind_ = MessageKind::Snapshot;
  message.to_ = aTo;
  message.term_ = hardState_.term_;
  message.index_ = snapshot.index_;
  message.indexTerm_ = snapshot.term_;
  message.commit_ = commit_;
  message.round_ = round_;
  message.members_ = snapshot.members_;
  message.offset_ = aPeer.offset_;
  message.total_ = snapshot.state_.size();
  std::size_t end = std::min(snapshot.state_.size(),
                             aPeer.offset_ + settings_.snapshotChunkBytes_);
  message.chunk_.assign(
    snapshot.state_.begin() + static_cast<std::ptrdiff_t>(aPeer.offset_),
    snapshot.state_.begin() + static_cast<std::ptrdiff_t>(end));
  Send(std::move(message));
}

/// Records the time and round of a peer's reply and returns the peer; returns
/// nullptr if this member is not the leader or the sender is unknown.
Raft::Peer*
Raft::RecordReply(const RaftMessage& aMessage, TimePoint aNow)
{
  auto it = peers_.find(aMessage.from_);
  if (role_ != RaftRole::Leader || it == peers_.end()) {
    return nullptr;
  }
  Peer& peer = it->second;
  peer.lastReplyAt_ = aNow;
  peer.round_ = std::max(peer.round_, aMessage.round_);
  return &peer;
}

void
Raft::OnAppendReply(const RaftMessage& aMessage, TimePoint aNow)
{
  Peer* sender = RecordReply(aMessage, aNow);
  if (sender == nullptr) {
    return;
  }
  Peer& peer = *sender;
  if (aMessage.isAccepted_) {
    peer.match_ = std::max(peer.match_, aMessage.index_);
    peer.next_ = std::max(peer.next_, peer.match_ + 1);
    if (peer.next_ <= log_.LastIndex() && !peer.snapshot_) {
      SendAppend(aMessage.from_, peer);
    }
    return;
  }
  if (aMessage.round_ <= peer.refusedRound_ || peer.snapshot_) {
    return;
  }
  peer.refusedRound_ = round_++;
  peer.next_ =
    std::max(peer.match_ + 1, std::min(peer.next_, aMessage.index_ + 1));
  SendAppend(aMessage.from_, peer);
}

void
Raft::OnSnapshotReply(const RaftMessage& aMessage, TimePoint aNow)
{
  Peer* sender = RecordReply(aMessage, aNow);
  if (sender == nullptr) {
    return;
  }
  Peer& peer = *sender;
  if (!peer.snapshot_ || peer.snapshot_->index_ != aMessage.index_) {
    return;
  }
  if (aMessage.isAccepted_) {
    peer.match_ = std::max(peer.match_, aMessage.index_);
    peer.next_ = peer.match_ + 1;
    peer.snapshot_.reset();
    SendAppend(aMessage.from_, peer);
  } else if (aMessage.offset_ != peer.offset_ &&
             aMessage.offset_ <= peer.snapshot_->state_.size()) {
    peer.offset_ = aMessage.offset_;
    SendChunk(aMessage.from_, peer);
  }
}

void
Raft::AdvanceCommit()
{
  for (LogIndex index = log_.LastIndex(); index > commit_; --index) {
    if (!settings_.rules_.commitsByCount_(*log_.TermAt(index),
                                          hardState_.term_)) {
      return;
    }
    bool isReplicated = HasQuorum([&](MemberKey aKey) {
      return aKey == self_ || peers_[aKey].match_ >= index;
    });
    if (isReplicated) {
      commit_ = index;
      isBroadcastDue_ = true;
      return;
    }
  }
}

void
Raft::ConfirmReads()
{
  bool isConfirmationRequired = settings_.rules_.confirmsReads_();
  std::erase_if(pendingReads_, [&](const PendingRead& aRead) {
    bool isConfirmed =
      !isConfirmationRequired || HasQuorum([&](MemberKey aKey) {
        return aKey == self_ || peers_[aKey].round_ >= aRead.round_;
      });
    bool isReady =
      isConfirmed && (!isConfirmationRequired || applied_ >= aRead.index_);
    if (isReady) {
      output_.reads_.push_back(aRead.read_);
    }
    return isReady;
  });
}

std::vector<MemberProgress>
Raft::Progress(TimePoint aNow) const
{
  std::vector<MemberProgress> progress;
  for (const auto& member : log_.Members()) {
    auto it = peers_.find(member.key_);
    if (member.key_ == self_) {
      progress.push_back({ member, log_.LastIndex(), true });
    } else if (it != peers_.end()) {
      bool isResponsive =
        aNow - it->second.lastReplyAt_ < settings_.electionTimeout_;
      progress.push_back({ member, it->second.match_, isResponsive });
    } else {
      progress.push_back({ member, 0, false });
    }
  }
  return progress;
}

MemberKey
Raft::CaughtUpLearner(TimePoint aNow) const
{
  if (role_ != RaftRole::Leader) {
    return 0;
  }
  for (const auto& progress : Progress(aNow)) {
    if (!progress.member_.isVoter_ && progress.isResponsive_ &&
        progress.match_ >= commit_) {
      return progress.member_.key_;
    }
  }
  return 0;
}

} // namespace tanagerstall
