#ifndef TANAGERSTALL_PRESENCE_CODEC_HPP_INCLUDED
#define TANAGERSTALL_PRESENCE_CODEC_HPP_INCLUDED

#include "tanagerstall/internal/control.capnp.h"
#include "tanagerstall/process/presence/tanagerstall_presence_exchange.hpp"

namespace tanagerstall {

/// Writes a pull into an RPC message.
void
WritePull(wire::PresencePull::Builder aTo, const PresencePull& aFrom);

PresencePull
ReadPull(wire::PresencePull::Reader aFrom);

/// Writes the answer to a pull into an RPC message.
void
WriteReply(wire::PresenceReply::Builder aTo, const PresenceReply& aFrom);

PresenceReply
ReadReply(wire::PresenceReply::Reader aFrom);

} // namespace tanagerstall

#endif
