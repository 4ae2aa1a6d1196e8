#include "tanagerstall/connection/tanagerstall_presence_codec.hpp"

#include "tanagerstall/internal/tanagerstall_wire.hpp"

namespace tanagerstall {

namespace {

wire::Standing
ToWire(UpstreamState aState)
{
  switch (aState) {
    case UpstreamState::Present:
      return wire::Standing::PRESENT;
    case UpstreamState::Expired:
      return wire::Standing::SILENT;
    case UpstreamState::Leaving:
      return wire::Standing::LEAVING;
  }
  return wire::Standing::SILENT;
}

/// Maps a state that this version doesn't know to the one in which an upstream
/// is assigned no new work.
UpstreamState
FromWire(wire::Standing aState)
{
  switch (aState) {
    case wire::Standing::PRESENT:
      return UpstreamState::Present;
    case wire::Standing::LEAVING:
      return UpstreamState::Leaving;
    default:
      return UpstreamState::Expired;
  }
}

void
WriteUpstream(wire::UpstreamPresence::Builder aTo, const UpstreamInfo& aFrom)
{
  aTo.setId(ToText(aFrom.id_));
  aTo.setService(ToText(aFrom.service_));
  aTo.setAddress(ToText(aFrom.address_));
  aTo.setFailureDomain(ToText(aFrom.failureDomain_));
  aTo.setRegion(ToText(aFrom.region_));
  aTo.setInstanceClass(ToText(aFrom.instanceClass_));
  aTo.setPrice(aFrom.pricePerHour_);
  aTo.setIncarnation(aFrom.incarnation_);
  aTo.setSequence(aFrom.sequence_);
  aTo.setTimeToLiveMs(static_cast<std::uint32_t>(aFrom.timeToLive_.count()));
  aTo.setCapacity(aFrom.capacity_);
  aTo.setChecksFencing(aFrom.checksFencing_);
  aTo.setDeduplicates(aFrom.deduplicates_);
  aTo.setLeaving(aFrom.isLeaving_);
  if (aFrom.reclaimIn_) {
    aTo.setReclaimInMs(aFrom.reclaimIn_->count());
  }
}

UpstreamInfo
ReadUpstream(wire::UpstreamPresence::Reader aFrom)
{
  UpstreamInfo info;
  info.id_ = ToString(aFrom.getId());
  info.service_ = ToString(aFrom.getService());
  info.address_ = ToString(aFrom.getAddress());
  info.failureDomain_ = ToString(aFrom.getFailureDomain());
  info.region_ = ToString(aFrom.getRegion());
  info.instanceClass_ = ToString(aFrom.getInstanceClass());
  info.pricePerHour_ = aFrom.getPrice();
  info.incarnation_ = aFrom.getIncarnation();
  info.sequence_ = aFrom.getSequence();
  info.timeToLive_ = std::chrono::milliseconds(aFrom.getTimeToLiveMs());
  info.capacity_ = aFrom.getCapacity();
  info.checksFencing_ = aFrom.getChecksFencing();
  info.deduplicates_ = aFrom.getDeduplicates();
  info.isLeaving_ = aFrom.getLeaving();
  if (aFrom.getReclaimInMs() >= 0) {
    info.reclaimIn_ = std::chrono::milliseconds(aFrom.getReclaimInMs());
  }
  return info;
}

void
WriteOrigin(wire::KnownOrigin::Builder aTo, const KnownOrigin& aFrom)
{
  aTo.setId(ToText(aFrom.run_.id_));
  aTo.setIncarnation(aFrom.run_.incarnation_);
  aTo.setLevel(aFrom.knownVersion_);
}

KnownOrigin
ReadOrigin(wire::KnownOrigin::Reader aFrom)
{
  return { { ToString(aFrom.getId()), aFrom.getIncarnation() },
           aFrom.getLevel() };
}

} // namespace

void
WritePull(wire::PresencePull::Builder aTo, const PresencePull& aFrom)
{
  aTo.setSender(ToText(aFrom.sender_));
  aTo.setPeerIncarnation(aFrom.peerIncarnation_);
  aTo.setAfter(aFrom.after_);
  auto known = aTo.initKnown(aFrom.known_.size());
  for (unsigned i = 0; i < known.size(); ++i) {
    WriteOrigin(known[i], aFrom.known_[i]);
  }
}

PresencePull
ReadPull(wire::PresencePull::Reader aFrom)
{
  PresencePull pull;
  pull.sender_ = ToString(aFrom.getSender());
  pull.peerIncarnation_ = aFrom.getPeerIncarnation();
  pull.after_ = aFrom.getAfter();
  for (auto origin : aFrom.getKnown()) {
    pull.known_.push_back(ReadOrigin(origin));
  }
  return pull;
}

void
WriteReply(wire::PresenceReply::Builder aTo, const PresenceReply& aFrom)
{
  aTo.setIncarnation(aFrom.incarnation_);
  aTo.setChange(aFrom.change_);
  aTo.setFull(aFrom.isFull_);
  aTo.setMore(aFrom.hasMore_);
  auto origins = aTo.initOrigins(aFrom.origins_.size());
  for (unsigned i = 0; i < origins.size(); ++i) {
    origins[i].setSlot(aFrom.origins_[i].slot_);
    WriteOrigin(origins[i].initOrigin(), aFrom.origins_[i].origin_);
  }
  auto facts = aTo.initFacts(aFrom.facts_.size());
  for (unsigned i = 0; i < facts.size(); ++i) {
    const auto& [slot, fact] = aFrom.facts_[i];
    facts[i].setSlot(slot);
    facts[i].setVersion(fact.version_);
    facts[i].setStanding(ToWire(fact.state_));
    WriteUpstream(facts[i].initUpstream(), *fact.info_);
  }
  aTo.setAges({ aFrom.ages_.data(), aFrom.ages_.size() });
}

PresenceReply
ReadReply(wire::PresenceReply::Reader aFrom)
{
  PresenceReply reply;
  reply.incarnation_ = aFrom.getIncarnation();
  reply.change_ = aFrom.getChange();
  reply.isFull_ = aFrom.getFull();
  reply.hasMore_ = aFrom.getMore();
  for (auto origin : aFrom.getOrigins()) {
    reply.origins_.push_back(
      { origin.getSlot(), ReadOrigin(origin.getOrigin()) });
  }
  for (auto fact : aFrom.getFacts()) {
    PresenceFact read{ fact.getVersion(),
                       FromWire(fact.getStanding()),
                       std::make_shared<const UpstreamInfo>(
                         ReadUpstream(fact.getUpstream())) };
    reply.facts_.push_back({ fact.getSlot(), std::move(read) });
  }
  auto ages = aFrom.getAges();
  reply.ages_.assign(ages.begin(), ages.end());
  return reply;
}

} // namespace tanagerstall
