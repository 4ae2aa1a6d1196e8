#include "tanagerstall/process/presence/tanagerstall_presence_table.hpp"

#include <algorithm>
#include <string_view>
#include <xxhash.h>

namespace tanagerstall {

namespace {

constexpr Duration kPauseSeen = std::chrono::seconds(1);
constexpr Duration kIgnoreAfterPause = std::chrono::seconds(1);
constexpr Duration kCleaningInterval = std::chrono::seconds(10);
constexpr PresenceTable::Slot kOwn = 0;

std::pair<std::uint64_t, std::uint64_t>
OrderOf(const UpstreamInfo& aInfo)
{
  return { aInfo.incarnation_, aInfo.sequence_ };
}

/// What other entries are told. A load report would be old when it arrives,
/// and a change of sequence alone is no news.
UpstreamInfo
ForOthers(UpstreamInfo aInfo)
{
  aInfo.reportedLoad_ = -1.0;
  return aInfo;
}

bool
IsSameButForSequence(UpstreamInfo aLeft, const UpstreamInfo& aRight)
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
  return aNow < ignoreUntil_ || aNow - lastTick_ > kPauseSeen;
}

AnnouncementResult
PresenceTable::Observe(UpstreamInfo aUpstream, TimePoint aNow)
{
  auto it = upstreams_.find(aUpstream.id_);
  if (it == upstreams_.end() && upstreams_.size() >= kMaxUpstreams) {
    return AnnouncementResult::TooMany;
  }
  auto order = OrderOf(aUpstream);
  bool isStale = it != upstreams_.end() &&
                 (order <= it->second.direct_ || order < it->second.newest_);
  if (isStale || IsPaused(aNow)) {
    return AnnouncementResult::Stale;
  }
  aUpstream.timeToLive_ = std::min(aUpstream.timeToLive_, kMaxPresence);
  NoteNewest(aUpstream, aNow);
  UpstreamOf(aUpstream.id_).direct_ = order;
  SetOwnFact(aUpstream,
             aUpstream.isLeaving_ ? Standing::Leaving : Standing::Present,
             aNow);
  auto id = aUpstream.id_;
  if (aUpstream.isLeaving_) {
    UpstreamOf(id).heard_ = nullptr;
    direct_.erase(id);
  } else {
    Direct& direct = direct_[id];
    direct = { std::make_shared<const UpstreamInfo>(std::move(aUpstream)),
               aNow };
    UpstreamOf(id).heard_ = &direct;
  }
  return AnnouncementResult::Taken;
}

void
PresenceTable::SetOwnFact(const UpstreamInfo& aInfo,
                          Standing aStanding,
                          TimePoint aNow)
{
  Origin& own = origins_[kOwn];
  UpstreamInfo info = ForOthers(aInfo);
  auto it = own.facts_.find(info.id_);
  if (it != own.facts_.end() && it->second.fact_.standing_ == aStanding &&
      IsSameButForSequence(*it->second.fact_.info_, info)) {
    return;
  }
  PresenceFact fact{ ++own.level_,
                     aStanding,
                     std::make_shared<const UpstreamInfo>(std::move(info)) };
  Hold(kOwn, fact, aNow);
}

void
PresenceTable::Hold(Slot aOrigin, const PresenceFact& aFact, TimePoint aNow)
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
PresenceTable::NoteNewest(const UpstreamInfo& aInfo, TimePoint aNow)
{
  Upstream& upstream = UpstreamOf(aInfo.id_);
  if (OrderOf(aInfo) >= upstream.newest_) {
    upstream.newest_ = OrderOf(aInfo);
    upstream.isLeaving_ = aInfo.isLeaving_;
  }
  upstream.touchedAt_ = aNow;
}

void
PresenceTable::Tick(TimePoint aNow)
{
  if (aNow - lastTick_ > kPauseSeen) {
    ignoreUntil_ = aNow + kIgnoreAfterPause;
  }
  lastTick_ = aNow;
  FindSilent(aNow);
  if (aNow - lastCleaning_ >= kCleaningInterval) {
    lastCleaning_ = aNow;
    DropOld(aNow);
  }
}

void
PresenceTable::FindSilent(TimePoint aNow)
{
  for (auto it = direct_.begin(); it != direct_.end();) {
    const Direct& direct = it->second;
    Duration silence = aNow - direct.heardAt_;
    if (silence >= std::min(direct.info_->timeToLive_, kSilentAfter)) {
      SetOwnFact(*direct.info_, Standing::Silent, aNow);
    }
    if (silence >= direct.info_->timeToLive_) {
      UpstreamOf(it->first).heard_ = nullptr;
      it = direct_.erase(it);
    } else {
      ++it;
    }
  }
}

void
PresenceTable::DropOld(TimePoint aNow)
{
  for (std::size_t i = 0; i < origins_.size(); ++i) {
    auto slot = static_cast<Slot>(i);
    if (!origins_[i].isUsed_) {
      continue;
    }
    if (slot != kOwn && aNow - origins_[i].freshAt_ > kOriginForgottenAfter) {
      ForgetOrigin(slot);
    } else {
      TrimFacts(slot, aNow);
    }
  }
  std::erase_if(upstreams_, [&](const auto& aItem) {
    return aItem.second.origins_.empty() &&
           aNow - aItem.second.touchedAt_ > kRemembered;
  });
}

void
PresenceTable::TrimFacts(Slot aOrigin, TimePoint aNow)
{
  std::vector<std::string> old;
  for (const auto& [id, held] : origins_[aOrigin].facts_) {
    if (held.fact_.standing_ != Standing::Present &&
        aNow - held.changedAt_ > kRemembered) {
      old.push_back(id);
      trimmedTo_ = std::max(trimmedTo_, held.change_);
    }
  }
  for (const auto& id : old) {
    DropFact(aOrigin, id);
  }
}

void
PresenceTable::ForgetOrigin(Slot aOrigin)
{
  Origin& origin = origins_[aOrigin];
  for (const auto& [id, held] : origin.facts_) {
    changes_.erase(held.change_);
    Release(id, aOrigin);
  }
  slots_.erase(origin.run_);
  origin = {};
  origin.isUsed_ = false;
  ++forgotten_;
}

void
PresenceTable::Release(const std::string& aUpstream, Slot aOrigin)
{
  std::erase_if(UpstreamOf(aUpstream).origins_,
                [&](const auto& aItem) { return aItem.first == aOrigin; });
}

TimePoint
PresenceTable::OwnVouch(TimePoint aNow) const
{
  TimePoint oldest = aNow;
  const Origin& own = origins_[kOwn];
  for (const auto& [id, direct] : direct_) {
    if (own.facts_.at(id).fact_.standing_ == Standing::Present) {
      oldest = std::min(oldest, direct.heardAt_);
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
  it->freshAt_ = aNow;
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
  NoteNewest(*aFact.info_, aNow);
  Hold(aOrigin, aFact, aNow);
}

void
PresenceTable::DropFact(Slot aOrigin, const std::string& aUpstream)
{
  auto& facts = origins_[aOrigin].facts_;
  auto it = facts.find(aUpstream);
  if (it != facts.end()) {
    changes_.erase(it->second.change_);
    facts.erase(it);
    Release(aUpstream, aOrigin);
  }
}

void
PresenceTable::RaiseLevel(Slot aOrigin, std::uint64_t aLevel)
{
  origins_[aOrigin].level_ = std::max(origins_[aOrigin].level_, aLevel);
}

void
PresenceTable::Vouch(Slot aOrigin, TimePoint aAt)
{
  Origin& origin = origins_[aOrigin];
  origin.vouchedAt_ = std::max(origin.vouchedAt_, aAt);
  origin.freshAt_ = std::max(origin.freshAt_, aAt);
}

std::vector<PresentUpstream>
PresenceTable::Present(TimePoint aNow) const
{
  std::map<std::string_view, std::vector<Form>> services;
  for (const auto& [id, upstream] : upstreams_) {
    Form form = FormOf(upstream, aNow);
    if (form.info_ != nullptr) {
      services[(*form.info_)->service_].push_back(form);
    }
  }
  std::vector<PresentUpstream> present;
  for (auto& [service, forms] : services) {
    if (forms.size() > kMaxUsedPerService) {
      auto last = forms.begin() + kMaxUsedPerService;
      std::nth_element(
        forms.begin(), last, forms.end(), [](const Form& aA, const Form& aB) {
          return aA.rank_ < aB.rank_;
        });
      forms.erase(last, forms.end());
    }
    for (const Form& form : forms) {
      present.push_back({ *form.info_, form.until_ });
    }
  }
  return present;
}

bool
PresenceTable::IsPresent(const std::string& aId, TimePoint aNow) const
{
  auto it = upstreams_.find(aId);
  return it != upstreams_.end() && FormOf(it->second, aNow).info_ != nullptr;
}

bool
PresenceTable::IsEntryFresh(const std::string& aEntry, TimePoint aNow) const
{
  return std::any_of(
    origins_.begin() + 1, origins_.end(), [&](const Origin& aOrigin) {
      return aOrigin.run_.id_ == aEntry &&
             aOrigin.vouchedAt_ != TimePoint::min() &&
             aNow - aOrigin.vouchedAt_ < kVouchHolds;
    });
}

PresenceTable::Form
PresenceTable::FormOf(const Upstream& aUpstream, TimePoint aNow) const
{
  Form form;
  if (aUpstream.isLeaving_) {
    return form;
  }
  form.rank_ = aUpstream.rank_;
  auto incarnation = aUpstream.newest_.first;
  for (const auto& [slot, held] : aUpstream.origins_) {
    TimePoint vouchedAt = origins_[slot].vouchedAt_;
    const auto& info = held->fact_.info_;
    if (slot == kOwn || held->fact_.standing_ != Standing::Present ||
        vouchedAt == TimePoint::min() || vouchedAt + kVouchHolds <= aNow ||
        info->incarnation_ != incarnation) {
      continue;
    }
    form.until_ = std::max(form.until_, vouchedAt + kVouchHolds);
    if (form.info_ == nullptr || (*form.info_)->sequence_ < info->sequence_) {
      form.info_ = &info;
    }
  }
  const Direct* heard = aUpstream.heard_;
  if (heard != nullptr && heard->info_->incarnation_ == incarnation &&
      heard->heardAt_ + heard->info_->timeToLive_ > aNow) {
    form.info_ = &heard->info_;
    form.until_ =
      std::max(form.until_, heard->heardAt_ + heard->info_->timeToLive_);
  }
  return form;
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
