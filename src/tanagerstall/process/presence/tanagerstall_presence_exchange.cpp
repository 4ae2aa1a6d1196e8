#include "tanagerstall/process/presence/tanagerstall_presence_exchange.hpp"

#include <algorithm>
#include <set>

namespace tanagerstall {

namespace {

constexpr std::size_t kMaxFactsPerReply = 2000;

std::uint8_t
ToAge(TimePoint aRenewedAt, TimePoint aNow)
{
  if (aRenewedAt == TimePoint::min()) {
    return kExpiredAge;
  }
  Duration age = std::max(aNow - aRenewedAt, Duration::zero());
  auto steps = (age + kAgeStep - Duration(1)) / kAgeStep;
  return static_cast<std::uint8_t>(std::min<Duration::rep>(steps, kExpiredAge));
}

std::map<EntryRun, std::uint64_t>
KnownVersionsOf(const std::vector<KnownOrigin>& aKnown)
{
  std::map<EntryRun, std::uint64_t> versions;
  for (const auto& origin : aKnown) {
    versions[origin.run_] = origin.knownVersion_;
  }
  return versions;
}

bool
IsExpired(const PresenceReply& aReply, PresenceTable::Slot aSlot)
{
  return aSlot >= aReply.ages_.size() || aReply.ages_[aSlot] == kExpiredAge;
}

} // namespace

PresenceExchange::PresenceExchange(PresenceTable& aTable)
  : table_(aTable)
{
}

PresencePull
PresenceExchange::Pull(const std::string& aPeer, TimePoint aNow)
{
  Peer& peer = peers_[aPeer];
  peer.token_ = ++lastToken_;
  PresencePull pull;
  pull.sender_ = table_.Self().id_;
  pull.peerIncarnation_ = peer.incarnation_;
  pull.after_ = peer.change_;
  pull.token_ = peer.token_;
  pull.sentAt_ = aNow;
  if (peer.change_ == 0) {
    peer.removedOrigins_ = table_.RemovedOrigins();
  }
  if (peer.change_ == 0 || peer.isFull_) {
    for (const auto& origin : table_.Origins()) {
      if (origin.isUsed_) {
        pull.known_.push_back({ origin.run_, origin.knownVersion_ });
      }
    }
  }
  return pull;
}

PresenceReply
PresenceExchange::Answer(const PresencePull& aPull, TimePoint aNow) const
{
  const auto& origins = table_.Origins();
  PresenceReply reply;
  reply.incarnation_ = table_.Self().incarnation_;
  reply.isFull_ = aPull.peerIncarnation_ != reply.incarnation_ ||
                  aPull.after_ < table_.TrimmedTo() || aPull.after_ == 0 ||
                  aPull.after_ > table_.LastChange();
  std::uint64_t after = reply.isFull_ ? 0 : aPull.after_;
  reply.change_ = table_.LastChange();
  auto known = KnownVersionsOf(aPull.known_);
  const auto& changes = table_.Changes();
  for (auto it = changes.upper_bound(after); it != changes.end(); ++it) {
    const auto& [slot, id] = it->second;
    const auto& origin = origins[slot];
    auto version = known.find(origin.run_);
    if (version != known.end() && version->second >= origin.knownVersion_) {
      continue;
    }
    if (reply.facts_.size() == kMaxFactsPerReply) {
      reply.hasMore_ = true;
      reply.change_ = it->first - 1;
      break;
    }
    reply.facts_.push_back({ slot, origin.facts_.at(id).fact_ });
  }
  for (std::size_t i = 0; i < origins.size(); ++i) {
    const auto& origin = origins[i];
    if (origin.isUsed_ && origin.change_ > after) {
      reply.origins_.push_back(
        { static_cast<Slot>(i), { origin.run_, origin.knownVersion_ } });
    }
    auto renewedAt = i == 0 ? table_.OwnRenewalTime(aNow) : origin.renewedAt_;
    reply.ages_.push_back(ToAge(renewedAt, aNow));
  }
  return reply;
}

PullResult
PresenceExchange::Apply(const std::string& aPeer,
                        const PresencePull& aPull,
                        const PresenceReply& aReply,
                        TimePoint aNow)
{
  auto it = peers_.find(aPeer);
  if (it == peers_.end() || it->second.token_ != aPull.token_) {
    return PullResult::Ignored;
  }
  Peer& peer = it->second;
  peer.token_ = 0;
  BufferReply(peer, aReply);
  if (aReply.hasMore_) {
    return PullResult::Again;
  }
  if (!IsResolvable(peer, aReply)) {
    peer = {};
    return PullResult::Again;
  }
  MapOrigins(peer, aReply, aNow);
  ApplyFacts(peer, aNow);
  ApplyAges(peer, aPull, aReply);
  return PullResult::Done;
}

void
PresenceExchange::BufferReply(Peer& aPeer, const PresenceReply& aReply) const
{
  if (aReply.isFull_) {
    auto removedOrigins = aPeer.removedOrigins_;
    aPeer = {};
    aPeer.isFull_ = true;
    aPeer.removedOrigins_ = removedOrigins;
  }
  aPeer.incarnation_ = aReply.incarnation_;
  aPeer.change_ = aReply.change_;
  for (const auto& origin : aReply.origins_) {
    aPeer.pendingOrigins_[origin.slot_] = origin.origin_;
  }
  aPeer.pendingFacts_.insert(
    aPeer.pendingFacts_.end(), aReply.facts_.begin(), aReply.facts_.end());
}

std::optional<PresenceTable::Slot>
PresenceExchange::OwnSlot(const Peer& aPeer, Slot aSlot) const
{
  auto it = aPeer.slots_.find(aSlot);
  if (it == aPeer.slots_.end()) {
    return std::nullopt;
  }
  const MappedOrigin& mapped = it->second;
  const auto& origin = table_.Origins()[mapped.ownSlot_];
  bool isHeld = origin.isUsed_ && origin.change_ == mapped.ownChange_ &&
                origin.run_ == mapped.run_;
  return isHeld ? std::optional(mapped.ownSlot_) : std::nullopt;
}

bool
PresenceExchange::IsResolvable(const Peer& aPeer,
                               const PresenceReply& aReply) const
{
  if (aPeer.isFull_ && aPeer.removedOrigins_ != table_.RemovedOrigins()) {
    return false;
  }
  for (std::size_t i = 0; i < aReply.ages_.size(); ++i) {
    auto slot = static_cast<Slot>(i);
    if (!IsExpired(aReply, slot) && !aPeer.pendingOrigins_.contains(slot) &&
        !OwnSlot(aPeer, slot)) {
      return false;
    }
  }
  return true;
}

// Unknown runs without a valid renewal are not added: peers would otherwise
// keep passing ended runs to each other for ever.
void
PresenceExchange::MapOrigins(Peer& aPeer,
                             const PresenceReply& aReply,
                             TimePoint aNow)
{
  for (const auto& [slot, origin] : aPeer.pendingOrigins_) {
    const auto* found = table_.FindOrigin(origin.run_);
    aPeer.slots_.erase(slot);
    if (found == nullptr && IsExpired(aReply, slot)) {
      continue;
    }
    auto own = found != nullptr ? *found : table_.AddOrigin(origin.run_, aNow);
    aPeer.slots_[slot] = { origin.run_, own, table_.Origins()[own].change_ };
  }
}

void
PresenceExchange::ApplyFacts(Peer& aPeer, TimePoint aNow)
{
  std::map<Slot, std::uint64_t> versions;
  for (const auto& fact : aPeer.pendingFacts_) {
    auto own = OwnSlot(aPeer, fact.slot_);
    if (!own || *own == 0 ||
        fact.fact_.version_ <= table_.Origins()[*own].knownVersion_) {
      continue;
    }
    table_.ApplyFact(*own, fact.fact_, aNow);
    auto& version = versions[*own];
    version = std::max(version, fact.fact_.version_);
  }
  if (aPeer.isFull_) {
    for (const auto& [slot, origin] : aPeer.pendingOrigins_) {
      DropMissing(aPeer, slot, origin);
    }
  }
  for (const auto& [own, version] : versions) {
    table_.RaiseKnownVersion(own, version);
  }
  aPeer.pendingFacts_.clear();
  aPeer.pendingOrigins_.clear();
  aPeer.isFull_ = false;
}

void
PresenceExchange::DropMissing(const Peer& aPeer,
                              Slot aPeerSlot,
                              const KnownOrigin& aOrigin)
{
  auto slot = OwnSlot(aPeer, aPeerSlot);
  if (!slot || *slot == 0 ||
      table_.Origins()[*slot].knownVersion_ >= aOrigin.knownVersion_) {
    return;
  }
  Slot own = *slot;
  std::set<std::string> listed;
  for (const auto& fact : aPeer.pendingFacts_) {
    if (fact.slot_ == aPeerSlot) {
      listed.insert(fact.fact_.info_->id_);
    }
  }
  std::vector<std::string> removed;
  for (const auto& [id, held] : table_.Origins()[own].facts_) {
    if (held.fact_.version_ <= aOrigin.knownVersion_ && !listed.contains(id)) {
      removed.push_back(id);
    }
  }
  for (const auto& id : removed) {
    table_.DropFact(own, id);
  }
  table_.RaiseKnownVersion(own, aOrigin.knownVersion_);
}

void
PresenceExchange::ApplyAges(const Peer& aPeer,
                            const PresencePull& aPull,
                            const PresenceReply& aReply)
{
  for (std::size_t i = 0; i < aReply.ages_.size(); ++i) {
    auto slot = static_cast<Slot>(i);
    auto own = OwnSlot(aPeer, slot);
    if (!IsExpired(aReply, slot) && own && *own != 0) {
      table_.Renew(*own, aPull.sentAt_ - aReply.ages_[i] * kAgeStep);
    }
  }
}

void
PresenceExchange::KeepPeers(const std::vector<std::string>& aPeers)
{
  std::erase_if(peers_, [&](const auto& aItem) {
    return std::find(aPeers.begin(), aPeers.end(), aItem.first) == aPeers.end();
  });
}

} // namespace tanagerstall
