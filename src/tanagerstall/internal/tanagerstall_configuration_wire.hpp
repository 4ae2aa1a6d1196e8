#ifndef TANAGERSTALL_CONFIGURATION_WIRE_HPP_INCLUDED
#define TANAGERSTALL_CONFIGURATION_WIRE_HPP_INCLUDED

#include "tanagerstall/internal/configuration.capnp.h"
#include "tanagerstall/internal/tanagerstall_wire.hpp"
#include "tanagerstall/version/tanagerstall_configuration_command.hpp"

namespace tanagerstall {

void
WriteWire(wire::StoredRecord::Builder aTo, const StoredRecord& aFrom);
StoredRecord
ReadWire(wire::StoredRecord::Reader aFrom);
ConfigurationCommand
ReadWire(wire::ConfigurationCommand::Reader aFrom);

template<class ListBuilder, class Items>
void
WriteWireList(ListBuilder aTo, const Items& aFrom)
{
  unsigned index = 0;
  for (const auto& item : aFrom) {
    WriteWire(aTo[index++], item);
  }
}

} // namespace tanagerstall

#endif
