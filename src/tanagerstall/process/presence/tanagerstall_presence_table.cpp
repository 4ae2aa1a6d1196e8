#include "tanagerstall/process/presence/tanagerstall_presence_table.hpp"

#include <algorithm>
#include <string_view>
#include <xxhash.h>

namespace tanagerstall {

namespace {

constexpr Duration kPauseThreshold = std::chrono::seconds(1);
constexpr Duration kIgnoreAfterPause = std::chrono::seconds(1);
constexpr Duration kCleaningInterval = std::chrono::seconds(10);
constexpr PresenceTable::Slot kOwnSlot = 0;

/// Orders the announcements of one upstream.
std::pair<std::uint64_t, std::uint64_t>
OrderOf(const UpstreamInfo& aInfo)
{
  return { aInfo.incarnation_, aInfo.sequence_ };
}

/// Returns the info as it is distributed to other entries. A load report would
/// be out of date when it arrives there, and would cause a change with each
/// announcement.
UpstreamInfo
WithoutReportedLoad(UpstreamInfo aInfo)
{
  aInfo.reportedLoad_ = -1.0;
  return aInfo;
}

bool
IsEqualExceptSequence(UpstreamInfo aLeft, const UpstreamInfo& aRight)
{
  aLeft.sequence_ = aRight.sequence_;
  return aLeft == aRight;
}

} // namespace

PresenceTable::PresenceTable(EntryRun aSelf, TimePoint aNow)
  : lastTick_(aNow)
  , lastCleaning_(aNow)
{
  AddOrigin(aSelf, aNow);
}

bool
PresenceTable::IsPaused(TimePoint aNow) const
{
  return aNow < ignoreUntil_ || aNow - lastTick_ > kPauseThreshold;
}

AnnouncementResult
PresenceTable::Observe(UpstreamInfo aUpstream, TimePoint aNow)
{
  auto it = upstreams_.find(aUpstream.id_);
  if (it == upstreams_.end() && upstreams_.size() >= kMaxUpstreams) {
    return AnnouncementResult::TooMany;
  }
  auto order = OrderOf(aUpstream);
  bool isStale = it != upstreams_.end() && (order <= it->second.directOrder_ ||
                                            order < it->second.newestOrder_);
  if (isStale || IsPaused(aNow)) {
    return AnnouncementResult::Stale;
  }
  aUpstream.timeToLive_ =
    std::min(aUpstream.timeToLive_, kMaxAnnouncementTimeToLive);
  UpdateNewest(aUpstream, aNow);
  UpstreamOf(aUpstream.id_).directOrder_ = order;
  SetOwnFact(aUpstream,
             aUpstream.isLeaving_ ? UpstreamState::Leaving
                                  : UpstreamState::Present,
             aNow);
  auto id = aUpstream.id_;
  if (aUpstream.isLeaving_) {
    UpstreamOf(id).direct_ = nullptr;
    directAnnouncements_.erase(id);
  } else {
    DirectAnnouncement& direct = directAnnouncements_[id];
    direct = { std::make_shared<const UpstreamInfo>(std::move(aUpstream)),
               aNow };
    UpstreamOf(id).direct_ = &direct;
  }
  return AnnouncementResult::Accepted;
}

void
PresenceTable::SetOwnFact(const UpstreamInfo& aInfo,
                          UpstreamState aState,
                          TimePoint aNow)
{
  Origin& own = origins_[kOwnSlot];
  UpstreamInfo info = WithoutReportedLoad(aInfo);
  auto it = own.facts_.find(info.id_);
  if (it != own.facts_.end() && it->second.fact_.state_ == aState &&
      IsEqualExceptSequence(*it->second.fact_.info_, info)) {
    return;
  }
  PresenceFact fact{ ++own.knownVersion_,
                     aState,
                     std::make_shared<const UpstreamInfo>(std::move(info)) };
  StoreFact(kOwnSlot, fact, aNow);
}

void
PresenceTable::StoreFact(Slot aOrigin,
                         const PresenceFact& aFact,
                         TimePoint aNow)
{
  const std::string& id = aFact.info_->id_;
  auto [it, isNew] = origins_[aOrigin].facts_.try_emplace(id);
  if (isNew) {
    UpstreamOf(id).origins_.emplace_back(aOrigin, &it->second);
  } else {
    changes_.erase(it->second.change_);
  }
  it->second = { aFact, ++lastChange_, aNow };
  changes_[lastChange_] = { aOrigin, id };
}

void
PresenceTable::UpdateNewest(const UpstreamInfo& aInfo, TimePoint aNow)
{
  Upstream& upstream = UpstreamOf(aInfo.id_);
  if (OrderOf(aInfo) >= upstream.newestOrder_) {
    upstream.newestOrder_ = OrderOf(aInfo);
    upstream.isLeaving_ = aInfo.isLeaving_;
  }
  upstream.updatedAt_ = aNow;
}

void
PresenceTable::Tick(TimePoint aNow)
{
  if (aNow - lastTick_ > kPauseThreshold) {
    ignoreUntil_ = aNow + kIgnoreAfterPause;
  }
  lastTick_ = aNow;
  ExpireAnnouncements(aNow);
  if (aNow - lastCleaning_ >= kCleaningInterval) {
    lastCleaning_ = aNow;
    RemoveOldState(aNow);
  }
}

void
PresenceTable::ExpireAnnouncements(TimePoint aNow)
{
  for (auto it = directAnnouncements_.begin();
       it != directAnnouncements_.end();) {
    const DirectAnnouncement& direct = it->second;
    Duration age = aNow - direct.receivedAt_;
    if (age >= std::min(direct.info_->timeToLive_, kWithdrawAfter)) {
      SetOwnFact(*direct.info_, UpstreamState::Expired, aNow);
    }
    if (age >= direct.info_->timeToLive_) {
      UpstreamOf(it->first).direct_ = nullptr;
      it = directAnnouncements_.erase(it);
    } else {
      ++it;
    }
  }
}

void
PresenceTable::RemoveOldState(TimePoint aNow)
{
  for (std::size_t i = 0; i < origins_.size(); ++i) {
    auto slot = static_cast<Slot>(i);
    if (!origins_[i].isUsed_) {
      continue;
    }
    if (slot != kOwnSlot &&
        aNow - origins_[i].lastActiveAt_ > kOriginRetention) {
      RemoveOrigin(slot);
    } else {
      RemoveTombstones(slot, aNow);
    }
  }
  std::erase_if(upstreams_, [&](const auto& aItem) {
    return aItem.second.origins_.empty() &&
           aNow - aItem.second.updatedAt_ > kTombstoneRetention;
  });
}

void
PresenceTable::RemoveTombstones(Slot aOrigin, TimePoint aNow)
{
  std::vector<std::string> old;
  for (const auto& [id, held] : origins_[aOrigin].facts_) {
    if (held.fact_.state_ != UpstreamState::Present &&
        aNow - held.changedAt_ > kTombstoneRetention) {
      old.push_back(id);
      trimmedTo_ = std::max(trimmedTo_, held.change_);
    }
  }
  for (const auto& id : old) {
    DropFact(aOrigin, id);
  }
}

void
PresenceTable::RemoveOrigin(Slot aOrigin)
{
  Origin& origin = origins_[aOrigin];
  for (const auto& [id, held] : origin.facts_) {
    changes_.erase(held.change_);
    UnlinkOrigin(id, aOrigin);
  }
  slots_.erase(origin.run_);
  origin = {};
  origin.isUsed_ = false;
  ++removedOrigins_;
}

void
PresenceTable::UnlinkOrigin(const std::string& aUpstream, Slot aOrigin)
{
  std::erase_if(UpstreamOf(aUpstream).origins_,
                [&](const auto& aItem) { return aItem.first == aOrigin; });
}

TimePoint
PresenceTable::OwnRenewalTime(TimePoint aNow) const
{
  TimePoint oldest = aNow;
  const Origin& own = origins_[kOwnSlot];
  for (const auto& [id, direct] : directAnnouncements_) {
    if (own.facts_.at(id).fact_.state_ == UpstreamState::Present) {
      oldest = std::min(oldest, direct.receivedAt_);
    }
  }
  return oldest;
}

const PresenceTable::Slot*
PresenceTable::FindOrigin(const EntryRun& aRun) const
{
  auto it = slots_.find(aRun);
  return it == slots_.end() ? nullptr : &it->second;
}

PresenceTable::Slot
PresenceTable::AddOrigin(const EntryRun& aRun, TimePoint aNow)
{
  auto it =
    std::find_if(origins_.begin(), origins_.end(), [](const Origin& aOrigin) {
      return !aOrigin.isUsed_;
    });
  if (it == origins_.end()) {
    it = origins_.emplace(it);
  }
  *it = {};
  it->run_ = aRun;
  it->change_ = ++lastChange_;
  it->lastActiveAt_ = aNow;
  auto slot = static_cast<Slot>(it - origins_.begin());
  slots_[aRun] = slot;
  return slot;
}

void
PresenceTable::ApplyFact(Slot aOrigin,
                         const PresenceFact& aFact,
                         TimePoint aNow)
{
  const auto& facts = origins_[aOrigin].facts_;
  auto it = facts.find(aFact.info_->id_);
  if (it != facts.end() && it->second.fact_.version_ >= aFact.version_) {
    return;
  }
  UpdateNewest(*aFact.info_, aNow);
  StoreFact(aOrigin, aFact, aNow);
}

void
PresenceTable::DropFact(Slot aOrigin, const std::string& aUpstream)
{
  auto& facts = origins_[aOrigin].facts_;
  auto it = facts.find(aUpstream);
  if (it != facts.end()) {
    changes_.erase(it->second.change_);
    facts.erase(it);
    UnlinkOrigin(aUpstream, aOrigin);
  }
}

void
PresenceTable::RaiseKnownVersion(Slot aOrigin, std::uint64_t aVersion)
{
  origins_[aOrigin].knownVersion_ =
    std::max(origins_[aOrigin].knownVersion_, aVersion);
}

void
PresenceTable::Renew(Slot aOrigin, TimePoint aAt)
{
  Origin& origin = origins_[aOrigin];
  origin.renewedAt_ = std::max(origin.renewedAt_, aAt);
  origin.lastActiveAt_ = std::max(origin.lastActiveAt_, aAt);
}

std::vector<PresentUpstream>
PresenceTable::Present(TimePoint aNow) const
{
  std::map<std::string_view, std::vector<Candidate>> services;
  for (const auto& [id, upstream] : upstreams_) {
    Candidate candidate = CandidateOf(upstream, aNow);
    if (candidate.info_ != nullptr) {
      services[(*candidate.info_)->service_].push_back(candidate);
    }
  }
  std::vector<PresentUpstream> present;
  for (auto& [service, candidates] : services) {
    if (candidates.size() > kMaxUpstreamsPerService) {
      auto last = candidates.begin() + kMaxUpstreamsPerService;
      std::nth_element(candidates.begin(),
                       last,
                       candidates.end(),
                       [](const Candidate& aA, const Candidate& aB) {
                         return aA.rank_ < aB.rank_;
                       });
      candidates.erase(last, candidates.end());
    }
    for (const Candidate& candidate : candidates) {
      present.push_back({ *candidate.info_, candidate.until_ });
    }
  }
  return present;
}

bool
PresenceTable::IsPresent(const std::string& aId, TimePoint aNow) const
{
  auto it = upstreams_.find(aId);
  return it != upstreams_.end() &&
         CandidateOf(it->second, aNow).info_ != nullptr;
}

bool
PresenceTable::IsEntryFresh(const std::string& aEntry, TimePoint aNow) const
{
  return std::any_of(
    origins_.begin() + 1, origins_.end(), [&](const Origin& aOrigin) {
      return aOrigin.run_.id_ == aEntry &&
             aOrigin.renewedAt_ != TimePoint::min() &&
             aNow - aOrigin.renewedAt_ < kRenewalTimeToLive;
    });
}

PresenceTable::Candidate
PresenceTable::CandidateOf(const Upstream& aUpstream, TimePoint aNow) const
{
  Candidate candidate;
  if (aUpstream.isLeaving_) {
    return candidate;
  }
  candidate.rank_ = aUpstream.rank_;
  auto incarnation = aUpstream.newestOrder_.first;
  for (const auto& [slot, held] : aUpstream.origins_) {
    TimePoint renewedAt = origins_[slot].renewedAt_;
    const auto& info = held->fact_.info_;
    if (slot == kOwnSlot || held->fact_.state_ != UpstreamState::Present ||
        renewedAt == TimePoint::min() ||
        renewedAt + kRenewalTimeToLive <= aNow ||
        info->incarnation_ != incarnation) {
      continue;
    }
    candidate.until_ =
      std::max(candidate.until_, renewedAt + kRenewalTimeToLive);
    if (candidate.info_ == nullptr ||
        (*candidate.info_)->sequence_ < info->sequence_) {
      candidate.info_ = &info;
    }
  }
  const DirectAnnouncement* direct = aUpstream.direct_;
  if (direct != nullptr && direct->info_->incarnation_ == incarnation &&
      direct->receivedAt_ + direct->info_->timeToLive_ > aNow) {
    candidate.info_ = &direct->info_;
    candidate.until_ = std::max(
      candidate.until_, direct->receivedAt_ + direct->info_->timeToLive_);
  }
  return candidate;
}

PresenceTable::Upstream&
PresenceTable::UpstreamOf(const std::string& aId)
{
  auto [it, isNew] = upstreams_.try_emplace(aId);
  if (isNew) {
    const auto& self = Self().id_;
    auto seed = XXH3_64bits(self.data(), self.size());
    it->second.rank_ = XXH3_64bits_withSeed(aId.data(), aId.size(), seed);
  }
  return it->second;
}

} // namespace tanagerstall
