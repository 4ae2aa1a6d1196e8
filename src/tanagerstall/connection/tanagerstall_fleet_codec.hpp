#ifndef TANAGERSTALL_FLEET_CODEC_HPP_INCLUDED
#define TANAGERSTALL_FLEET_CODEC_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fleet_messages.hpp"
#include "tanagerstall/internal/tanagerstall_fleet_wire.hpp"

#include <capnp/message.h>
#include <vector>

namespace tanagerstall {

/// Changes of replicas as answers contain them. Written once and copied into
/// each answer, which takes less time than to write them again.
class EncodedReplicas
{
public:
  explicit EncodedReplicas(const std::vector<Replica>& aReplicas);
  capnp::List<wire::ReplicaFact>::Reader Reader() const { return reader_; }
  /// The compressed list; empty if it is so short that this saves nothing.
  const Bytes& Packed() const { return packed_; }

private:
  capnp::MallocMessageBuilder message_;
  capnp::List<wire::ReplicaFact>::Reader reader_;
  Bytes packed_;
};

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
