#include "tanagerstall/process/raft/tanagerstall_raft.hpp"

namespace tanagerstall {

void
Raft::ResetElection(TimePoint aNow)
{
  bool isFirst = !hasSeenLeader_ && settings_.firstElectionTimeout_.count() > 0;
  Duration least =
    isFirst ? settings_.firstElectionTimeout_ : settings_.electionTimeout_;
  std::uniform_int_distribution<Duration::rep> extra(0, least.count());
  electionAt_ = aNow + least + Duration(extra(random_));
}

bool
Raft::IsUpToDate(const RaftMessage& aMessage) const
{
  return std::pair(aMessage.indexTerm_, aMessage.index_) >=
         std::pair(log_.LastTerm(), log_.LastIndex());
}

void
Raft::Campaign(RaftRole aRole, TimePoint aNow)
{
  role_ = aRole;
  leader_ = 0;
  votes_ = { { self_, true } };
  if (aRole == RaftRole::Candidate) {
    hardState_ = { hardState_.term_ + 1, self_ };
  }
  bool isPreVote = aRole == RaftRole::PreCandidate;
  for (const auto& member : log_.Members()) {
    if (member.isVoter_ && member.key_ != self_) {
      RaftMessage message;
      message.kind_ = isPreVote ? MessageKind::PreVote : MessageKind::Vote;
      message.to_ = member.key_;
      message.term_ = hardState_.term_ + (isPreVote ? 1 : 0);
      message.index_ = log_.LastIndex();
      message.indexTerm_ = log_.LastTerm();
      Send(message);
    }
  }
  CountVotes(aNow);
}

void
Raft::CountVotes(TimePoint aNow)
{
  bool isWon = HasQuorum([this](MemberKey aKey) {
    auto it = votes_.find(aKey);
    return it != votes_.end() && it->second;
  });
  if (!isWon) {
    return;
  }
  if (role_ == RaftRole::PreCandidate) {
    Campaign(RaftRole::Candidate, aNow);
  } else if (role_ == RaftRole::Candidate) {
    BecomeLeader(aNow);
  }
}

void
Raft::OnPreVote(const RaftMessage& aMessage, TimePoint aNow)
{
  bool hasLeader = role_ == RaftRole::Leader ||
                   aNow - lastLeaderMessageAt_ < settings_.electionTimeout_;
  auto reply = Reply(aMessage, MessageKind::PreVoteReply);
  reply.isAccepted_ =
    !hasLeader && aMessage.term_ > hardState_.term_ && IsUpToDate(aMessage);
  if (reply.isAccepted_) {
    reply.term_ = aMessage.term_;
  }
  Send(reply);
}

void
Raft::OnPreVoteReply(const RaftMessage& aMessage, TimePoint aNow)
{
  if (!aMessage.isAccepted_) {
    if (aMessage.term_ > hardState_.term_) {
      BecomeFollower(aMessage.term_, 0);
    }
    return;
  }
  if (role_ == RaftRole::PreCandidate &&
      aMessage.term_ == hardState_.term_ + 1) {
    votes_[aMessage.from_] = true;
    CountVotes(aNow);
  }
}

void
Raft::OnVote(const RaftMessage& aMessage, TimePoint aNow)
{
  bool canVote =
    hardState_.votedFor_ == 0 || hardState_.votedFor_ == aMessage.from_;
  auto reply = Reply(aMessage, MessageKind::VoteReply);
  reply.isAccepted_ = canVote && IsUpToDate(aMessage);
  if (reply.isAccepted_) {
    hardState_.votedFor_ = aMessage.from_;
    ResetElection(aNow);
  }
  Send(reply);
}

void
Raft::OnVoteReply(const RaftMessage& aMessage, TimePoint aNow)
{
  if (role_ == RaftRole::Candidate) {
    votes_[aMessage.from_] = aMessage.isAccepted_;
    CountVotes(aNow);
  }
}

} // namespace tanagerstall
