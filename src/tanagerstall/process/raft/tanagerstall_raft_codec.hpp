#ifndef TANAGERSTALL_RAFT_CODEC_HPP_INCLUDED
#define TANAGERSTALL_RAFT_CODEC_HPP_INCLUDED

#include "tanagerstall/internal/raft.capnp.h"
#include "tanagerstall/process/raft/tanagerstall_raft_types.hpp"

namespace tanagerstall {

/// Largest message that a member accepts from another, in bytes.
constexpr std::size_t kMaxMessageBytes = 24U << 20U;

void
WriteMember(wire::RaftMember::Builder aTo, const Member& aFrom);
Member
ReadMember(wire::RaftMember::Reader aFrom);

void
WriteMembers(capnp::List<wire::RaftMember>::Builder aTo,
             const Membership& aFrom);
Membership
ReadMembers(capnp::List<wire::RaftMember>::Reader aFrom);

void
WriteEntry(wire::RaftEntry::Builder aTo, const LogEntry& aFrom);
LogEntry
ReadEntry(wire::RaftEntry::Reader aFrom);

void
WriteMessage(wire::RaftMessage::Builder aTo, const RaftMessage& aFrom);
/// Returns nothing if the kind of message is unknown.
std::optional<RaftMessage>
ReadMessage(wire::RaftMessage::Reader aFrom);

} // namespace tanagerstall

#endif
