#ifndef TANAGERSTALL_FLEET_WIRE_HPP_INCLUDED
#define TANAGERSTALL_FLEET_WIRE_HPP_INCLUDED

#include "tanagerstall/internal/fleet.capnp.h"
#include "tanagerstall/internal/tanagerstall_wire.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include <kj/debug.h>

namespace tanagerstall {

inline wire::DocumentEncoding
WriteEncoding(DocumentEncoding aEncoding)
{
  return aEncoding == DocumentEncoding::Compressed
           ? wire::DocumentEncoding::ZSTD
           : wire::DocumentEncoding::PLAIN;
}

/// Throws kj::Exception if the encoding is unknown.
inline DocumentEncoding
ReadEncoding(wire::DocumentEncoding aEncoding)
{
  switch (aEncoding) {
    case wire::DocumentEncoding::PLAIN:
      return DocumentEncoding::Plain;
    case wire::DocumentEncoding::ZSTD:
      return DocumentEncoding::Compressed;
  }
  KJ_FAIL_REQUIRE("unknown encoding of a document",
                  static_cast<int>(aEncoding));
}

inline void
WriteUsage(wire::UsageWindow::Builder aTo, const UsageWindow& aFrom)
{
  aTo.setWindow(aFrom.window_);
  auto counts = aTo.initCounts(aFrom.counts_.size());
  unsigned i = 0;
  for (const auto& [name, count] : aFrom.counts_) {
    counts[i].setName(ToText(name));
    counts[i].setCount(count);
    ++i;
  }
}

inline UsageWindow
ReadUsage(wire::UsageWindow::Reader aFrom)
{
  UsageWindow usage;
  usage.window_ = aFrom.getWindow();
  for (auto count : aFrom.getCounts()) {
    usage.counts_[ToString(count.getName())] = count.getCount();
  }
  return usage;
}

} // namespace tanagerstall

#endif
