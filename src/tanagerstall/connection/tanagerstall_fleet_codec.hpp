#ifndef TANAGERSTALL_FLEET_CODEC_HPP_INCLUDED
#define TANAGERSTALL_FLEET_CODEC_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fleet_messages.hpp"
#include "tanagerstall/internal/tanagerstall_fleet_wire.hpp"

namespace tanagerstall {

/// Convert between entry reports and their RPC messages.
void
WriteReport(wire::SyncRequest::Builder aTo, const EntryReport& aFrom);
EntryReport
ReadReport(wire::SyncRequest::Reader aFrom);

/// Convert between control answers and their RPC messages.
void
WriteAnswer(wire::SyncReply::Builder aTo, const ControlAnswer& aFrom);
ControlAnswer
ReadAnswer(wire::SyncReply::Reader aFrom);

} // namespace tanagerstall

#endif
