#ifndef TANAGERSTALL_PRESENCE_CODEC_HPP_INCLUDED
#define TANAGERSTALL_PRESENCE_CODEC_HPP_INCLUDED

#include "tanagerstall/internal/control.capnp.h"
#include "tanagerstall/process/presence/tanagerstall_presence_exchange.hpp"

namespace tanagerstall {

/// Convert between pulls and their RPC messages.
void
WritePull(wire::PresencePull::Builder aTo, const PresencePull& aFrom);

PresencePull
ReadPull(wire::PresencePull::Reader aFrom);

/// Convert between replies to pulls and their RPC messages.
void
WriteReply(wire::PresenceReply::Builder aTo, const PresenceReply& aFrom);

PresenceReply
ReadReply(wire::PresenceReply::Reader aFrom);

} // namespace tanagerstall

#endif
