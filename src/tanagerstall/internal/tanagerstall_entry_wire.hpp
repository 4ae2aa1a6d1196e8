#ifndef TANAGERSTALL_ENTRY_WIRE_HPP_INCLUDED
#define TANAGERSTALL_ENTRY_WIRE_HPP_INCLUDED

#include "tanagerstall/internal/control.capnp.h"
#include "tanagerstall/internal/tanagerstall_wire.hpp"
#include "tanagerstall/process/presence/tanagerstall_entry_directory.hpp"

namespace tanagerstall {

inline EntryInfo
ReadWire(wire::EntryInfo::Reader aFrom)
{
  return { ToString(aFrom.getId()),
           ToString(aFrom.getCallerAddress()),
           ToString(aFrom.getPeerAddress()),
           ToString(aFrom.getFailureDomain()),
           ToString(aFrom.getRegion()),
           aFrom.getIncarnation(),
           aFrom.getRevision(),
           aFrom.getDraining(),
           aFrom.getWeight() };
}

inline void
WriteWire(wire::EntryInfo::Builder aTo, const EntryInfo& aFrom)
{
  aTo.setId(ToText(aFrom.id_));
  aTo.setCallerAddress(ToText(aFrom.callerAddress_));
  aTo.setPeerAddress(ToText(aFrom.peerAddress_));
  aTo.setFailureDomain(ToText(aFrom.failureDomain_));
  aTo.setRegion(ToText(aFrom.region_));
  aTo.setIncarnation(aFrom.incarnation_);
  aTo.setRevision(aFrom.revision_);
  aTo.setDraining(aFrom.isDraining_);
  aTo.setWeight(aFrom.weight_);
}

} // namespace tanagerstall

#endif
