#include "tanagerstall/process/raft/tanagerstall_raft_codec.hpp"

#include "tanagerstall/internal/tanagerstall_wire.hpp"

namespace tanagerstall {

void
WriteMember(wire::RaftMember::Builder aTo, const Member& aFrom)
{
  aTo.setKey(aFrom.key_);
  aTo.setName(ToText(aFrom.name_));
  aTo.setMemberAddress(ToText(aFrom.memberAddress_));
  aTo.setControlAddress(ToText(aFrom.controlAddress_));
  aTo.setVoter(aFrom.isVoter_);
}

Member
ReadMember(wire::RaftMember::Reader aFrom)
{
  return { aFrom.getKey(),
           ToString(aFrom.getName()),
           ToString(aFrom.getMemberAddress()),
           ToString(aFrom.getControlAddress()),
           aFrom.getVoter() };
}

void
WriteMembers(capnp::List<wire::RaftMember>::Builder aTo,
             const Membership& aFrom)
{
  for (unsigned i = 0; i < aFrom.size(); ++i) {
    WriteMember(aTo[i], aFrom[i]);
  }
}

Membership
ReadMembers(capnp::List<wire::RaftMember>::Reader aFrom)
{
  Membership members;
  for (auto member : aFrom) {
    members.push_back(ReadMember(member));
  }
  return members;
}

void
WriteEntry(wire::RaftEntry::Builder aTo, const LogEntry& aFrom)
{
  aTo.setIndex(aFrom.index_);
  aTo.setTerm(aFrom.term_);
  switch (aFrom.kind_) {
    case EntryKind::Empty:
      aTo.setEmpty();
      break;
    case EntryKind::Command:
      aTo.setCommand(ToData(aFrom.command_));
      break;
    case EntryKind::Members:
      WriteMembers(aTo.initMembers(aFrom.members_.size()), aFrom.members_);
      break;
  }
}

LogEntry
ReadEntry(wire::RaftEntry::Reader aFrom)
{
  LogEntry entry;
  entry.index_ = aFrom.getIndex();
  entry.term_ = aFrom.getTerm();
  if (aFrom.isCommand()) {
    entry.kind_ = EntryKind::Command;
    entry.command_ = ToBytes(aFrom.getCommand());
  } else if (aFrom.isMembers()) {
    entry.kind_ = EntryKind::Members;
    entry.members_ = ReadMembers(aFrom.getMembers());
  }
  return entry;
}

void
WriteMessage(wire::RaftMessage::Builder aTo, const RaftMessage& aFrom)
{
  aTo.setKind(static_cast<std::uint8_t>(aFrom.kind_));
  aTo.setFrom(aFrom.from_);
  aTo.setTo(aFrom.to_);
  aTo.setTerm(aFrom.term_);
  aTo.setIndex(aFrom.index_);
  aTo.setIndexTerm(aFrom.indexTerm_);
  aTo.setCommit(aFrom.commit_);
  aTo.setRound(aFrom.round_);
  aTo.setAccepted(aFrom.isAccepted_);
  auto entries = aTo.initEntries(aFrom.entries_.size());
  for (unsigned i = 0; i < aFrom.entries_.size(); ++i) {
    WriteEntry(entries[i], aFrom.entries_[i]);
  }
  aTo.setOffset(aFrom.offset_);
  aTo.setTotal(aFrom.total_);
  aTo.setChunk(ToData(aFrom.chunk_));
  WriteMembers(aTo.initMembers(aFrom.members_.size()), aFrom.members_);
}

std::optional<RaftMessage>
ReadMessage(wire::RaftMessage::Reader aFrom)
{
  if (aFrom.getKind() > static_cast<std::uint8_t>(MessageKind::SnapshotReply)) {
    return std::nullopt;
  }
  RaftMessage message;
  message.kind_ = static_cast<MessageKind>(aFrom.getKind());
  message.from_ = aFrom.getFrom();
  message.to_ = aFrom.getTo();
  message.term_ = aFrom.getTerm();
  message.index_ = aFrom.getIndex();
  message.indexTerm_ = aFrom.getIndexTerm();
  message.commit_ = aFrom.getCommit();
  message.round_ = aFrom.getRound();
  message.isAccepted_ = aFrom.getAccepted();
  for (auto entry : aFrom.getEntries()) {
    message.entries_.push_back(ReadEntry(entry));
  }
  message.offset_ = aFrom.getOffset();
  message.total_ = aFrom.getTotal();
  message.chunk_ = ToBytes(aFrom.getChunk());
  message.members_ = ReadMembers(aFrom.getMembers());
  return message;
}

} // namespace tanagerstall
