#ifndef TANAGERSTALL_FLEET_WIRE_HPP_INCLUDED
#define TANAGERSTALL_FLEET_WIRE_HPP_INCLUDED

#include "tanagerstall/internal/fleet.capnp.h"
#include "tanagerstall/internal/tanagerstall_wire.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"
#include "tanagerstall/version/tanagerstall_rollout.hpp"

#include <kj/debug.h>

namespace tanagerstall {

/// Reads the number of a declaration. Builds that took 0 for none don't say
/// whether there is one.
inline DeclarationNumber
ReadNumber(std::uint64_t aNumber, bool aHasNumber)
{
  return aHasNumber || aNumber != 0 ? DeclarationNumber(aNumber) : std::nullopt;
}

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

inline wire::RolloutState
WriteState(RolloutState aState)
{
  return static_cast<wire::RolloutState>(aState);
}

/// Throws kj::Exception if the state is unknown.
inline RolloutState
ReadState(wire::RolloutState aState)
{
  KJ_REQUIRE(aState <= wire::RolloutState::ROLLED_BACK,
             "unknown state of a roll-out");
  return static_cast<RolloutState>(aState);
}

inline void
WriteRollout(wire::Rollout::Builder aTo, const Rollout& aFrom)
{
  aTo.setId(aFrom.id_);
  aTo.setService(ToText(aFrom.order_.service_));
  aTo.setVersion(ToText(aFrom.order_.version_));
  aTo.setDurationMs(static_cast<std::uint64_t>(aFrom.order_.duration_.count()));
  aTo.setOrderedAtMs(aFrom.order_.orderedAt_.time_since_epoch().count());
  aTo.setState(WriteState(aFrom.state_));
  aTo.setEndedAtMs(aFrom.endedAt_.time_since_epoch().count());
}

inline Rollout
ReadRollout(wire::Rollout::Reader aFrom)
{
  return { aFrom.getId(),
           { ToString(aFrom.getService()),
             ToString(aFrom.getVersion()),
             std::chrono::milliseconds(aFrom.getDurationMs()),
             WallTime(std::chrono::milliseconds(aFrom.getOrderedAtMs())) },
           ReadState(aFrom.getState()),
           WallTime(std::chrono::milliseconds(aFrom.getEndedAtMs())) };
}

/// What processes of earlier versions read of a replica that was ready when it
/// expired.
constexpr std::uint8_t kExpiredWhileReady = 3;

inline std::uint8_t
StandingOf(const Replica& aReplica)
{
  return aReplica.hasExpired_ && aReplica.state_ == ReplicaState::Ready
           ? kExpiredWhileReady
           : static_cast<std::uint8_t>(aReplica.state_);
}

inline void
WriteReplica(wire::ReplicaFact::Builder aTo, const Replica& aFrom)
{
  aTo.setId(ToText(aFrom.id_));
  aTo.setService(ToText(aFrom.service_));
  aTo.setAddress(ToText(aFrom.address_));
  aTo.setFailureDomain(ToText(aFrom.failureDomain_));
  aTo.setBornMs(aFrom.startTimeMs_);
  aTo.setSequence(aFrom.sequence_);
  aTo.setSlots(aFrom.slots_);
  aTo.setStanding(StandingOf(aFrom));
  aTo.setExpired(aFrom.hasExpired_);
  aTo.setReclaimable(aFrom.isReclaimable_);
  aTo.setColdMs(static_cast<std::uint32_t>(aFrom.warmUpTime_.count()));
  aTo.setVersion(ToText(aFrom.version_));
}

/// Throws kj::Exception if the state is unknown.
inline Replica
ReadReplica(wire::ReplicaFact::Reader aFrom)
{
  std::uint8_t standing = aFrom.getStanding();
  KJ_REQUIRE(standing <= kExpiredWhileReady, "unknown replica state");
  bool isExpiredWhileReady = standing == kExpiredWhileReady;
  return { ToString(aFrom.getId()),
           ToString(aFrom.getService()),
           ToString(aFrom.getAddress()),
           ToString(aFrom.getFailureDomain()),
           aFrom.getBornMs(),
           aFrom.getSequence(),
           aFrom.getSlots(),
           isExpiredWhileReady ? ReplicaState::Ready
                               : static_cast<ReplicaState>(standing),
           isExpiredWhileReady || aFrom.getExpired(),
           aFrom.getReclaimable(),
           std::chrono::milliseconds(aFrom.getColdMs()),
           ToString(aFrom.getVersion()) };
}

} // namespace tanagerstall

#endif
