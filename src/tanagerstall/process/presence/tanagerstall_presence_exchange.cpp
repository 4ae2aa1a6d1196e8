#include "tanagerstall/process/presence/tanagerstall_presence_exchange.hpp"

#include <algorithm>
#include <set>

namespace tanagerstall {

namespace {

constexpr std::size_t kMaxFactsPerReply = 2000;

std::uint8_t
ToAge(TimePoint aVouchedAt, TimePoint aNow)
{
  if (aVouchedAt == TimePoint::min()) {
    return kLapsedAge;
  }
  Duration age = std::max(aNow - aVouchedAt, Duration::zero());
  auto steps = (age + kAgeStep - Duration(1)) / kAgeStep;
  return static_cast<std::uint8_t>(std::min<Duration::rep>(steps, kLapsedAge));
}

std::map<EntryRun, std::uint64_t>
LevelsOf(const std::vector<KnownOrigin>& aKnown)
{
  std::map<EntryRun, std::uint64_t> levels;
  for (const auto& origin : aKnown) {
    levels[origin.run_] = origin.level_;
  }
  return levels;
}

bool
IsLapsed(const PresenceReply& aReply, PresenceTable::Slot aSlot)
{
  return aSlot >= aReply.ages_.size() || aReply.ages_[aSlot] == kLapsedAge;
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
    peer.forgotten_ = table_.Forgotten();
  }
  if (peer.change_ == 0 || peer.isFull_) {
    for (const auto& origin : table_.Origins()) {
      if (origin.isUsed_) {
        pull.known_.push_back({ origin.run_, origin.level_ });
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
  auto known = LevelsOf(aPull.known_);
  const auto& changes = table_.Changes();
  for (auto it = changes.upper_bound(after); it != changes.end(); ++it) {
    const auto& [slot, id] = it->second;
    const auto& origin = origins[slot];
    auto level = known.find(origin.run_);
    if (level != known.end() && level->second >= origin.level_) {
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
        { static_cast<Slot>(i), { origin.run_, origin.level_ } });
    }
    auto vouchedAt = i == 0 ? table_.OwnVouch(aNow) : origin.vouchedAt_;
    reply.ages_.push_back(ToAge(vouchedAt, aNow));
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
  Collect(peer, aReply);
  if (aReply.hasMore_) {
    return PullResult::Again;
  }
  if (!IsResolvable(peer, aReply)) {
    peer = {};
    return PullResult::Again;
  }
  MapOrigins(peer, aReply, aNow);
  TakeFacts(peer, aNow);
  TakeAges(peer, aPull, aReply);
  return PullResult::Done;
}

/// Adds one reply to what is taken in together once nothing is missing.
void
PresenceExchange::Collect(Peer& aPeer, const PresenceReply& aReply) const
{
  if (aReply.isFull_) {
    auto forgotten = aPeer.forgotten_;
    aPeer = {};
    aPeer.isFull_ = true;
    aPeer.forgotten_ = forgotten;
  }
  aPeer.incarnation_ = aReply.incarnation_;
  aPeer.change_ = aReply.change_;
  for (const auto& origin : aReply.origins_) {
    aPeer.newOrigins_[origin.slot_] = origin.origin_;
  }
  aPeer.newFacts_.insert(
    aPeer.newFacts_.end(), aReply.facts_.begin(), aReply.facts_.end());
}

std::optional<PresenceTable::Slot>
PresenceExchange::OwnSlot(const Peer& aPeer, Slot aSlot) const
{
  auto it = aPeer.slots_.find(aSlot);
  if (it == aPeer.slots_.end()) {
    return std::nullopt;
  }
  const Mapped& mapped = it->second;
  const auto& origin = table_.Origins()[mapped.own_];
  bool isHeld = origin.isUsed_ && origin.change_ == mapped.ownChange_ &&
                origin.run_ == mapped.run_;
  return isHeld ? std::optional(mapped.own_) : std::nullopt;
}

/// Whether every origin that the peer vouches for is held here. One that was
/// forgotten in the meantime has to be learnt again as a whole.
bool
PresenceExchange::IsResolvable(const Peer& aPeer,
                               const PresenceReply& aReply) const
{
  if (aPeer.isFull_ && aPeer.forgotten_ != table_.Forgotten()) {
    return false;
  }
  for (std::size_t i = 0; i < aReply.ages_.size(); ++i) {
    auto slot = static_cast<Slot>(i);
    if (!IsLapsed(aReply, slot) && !aPeer.newOrigins_.contains(slot) &&
        !OwnSlot(aPeer, slot)) {
      return false;
    }
  }
  return true;
}

/// Runs that have ended are not learnt, or else peers would teach them to
/// each other for ever.
void
PresenceExchange::MapOrigins(Peer& aPeer,
                             const PresenceReply& aReply,
                             TimePoint aNow)
{
  for (const auto& [slot, origin] : aPeer.newOrigins_) {
    const auto* found = table_.FindOrigin(origin.run_);
    aPeer.slots_.erase(slot);
    if (found == nullptr && IsLapsed(aReply, slot)) {
      continue;
    }
    auto own = found != nullptr ? *found : table_.AddOrigin(origin.run_, aNow);
    aPeer.slots_[slot] = { origin.run_, own, table_.Origins()[own].change_ };
  }
}

void
PresenceExchange::TakeFacts(Peer& aPeer, TimePoint aNow)
{
  std::map<Slot, std::uint64_t> levels;
  for (const auto& fact : aPeer.newFacts_) {
    auto own = OwnSlot(aPeer, fact.slot_);
    if (!own || *own == 0 ||
        fact.fact_.version_ <= table_.Origins()[*own].level_) {
      continue;
    }
    table_.ApplyFact(*own, fact.fact_, aNow);
    auto& level = levels[*own];
    level = std::max(level, fact.fact_.version_);
  }
  if (aPeer.isFull_) {
    for (const auto& [slot, origin] : aPeer.newOrigins_) {
      DropMissing(aPeer, slot, origin);
    }
  }
  for (const auto& [own, level] : levels) {
    table_.RaiseLevel(own, level);
  }
  aPeer.newFacts_.clear();
  aPeer.newOrigins_.clear();
  aPeer.isFull_ = false;
}

/// Drops the facts that the peer, which knows more of their origin, no longer
/// has.
void
PresenceExchange::DropMissing(const Peer& aPeer,
                              Slot aPeerSlot,
                              const KnownOrigin& aOrigin)
{
  auto slot = OwnSlot(aPeer, aPeerSlot);
  if (!slot || *slot == 0 || table_.Origins()[*slot].level_ >= aOrigin.level_) {
    return;
  }
  Slot own = *slot;
  std::set<std::string> listed;
  for (const auto& fact : aPeer.newFacts_) {
    if (fact.slot_ == aPeerSlot) {
      listed.insert(fact.fact_.info_->id_);
    }
  }
  std::vector<std::string> gone;
  for (const auto& [id, held] : table_.Origins()[own].facts_) {
    if (held.fact_.version_ <= aOrigin.level_ && !listed.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const auto& id : gone) {
    table_.DropFact(own, id);
  }
  table_.RaiseLevel(own, aOrigin.level_);
}

void
PresenceExchange::TakeAges(const Peer& aPeer,
                           const PresencePull& aPull,
                           const PresenceReply& aReply)
{
  for (std::size_t i = 0; i < aReply.ages_.size(); ++i) {
    auto slot = static_cast<Slot>(i);
    auto own = OwnSlot(aPeer, slot);
    if (!IsLapsed(aReply, slot) && own && *own != 0) {
      table_.Vouch(*own, aPull.sentAt_ - aReply.ages_[i] * kAgeStep);
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
