#include "tanagerstall/process/presence/tanagerstall_peer_confirmations.hpp"

#include <algorithm>
#include <utility>

namespace tanagerstall {

void
PeerConfirmations::SetMembers(std::size_t aCount)
{
  members_ = aCount;
}

void
PeerConfirmations::Record(const std::string& aPeer, std::uint64_t aStamp)
{
  confirmed_[aPeer] = aStamp;
  Update();
}

void
PeerConfirmations::Await(std::uint64_t aStamp,
                         IsRecorded aIsRecorded,
                         TimePoint aUntil,
                         Done aDone)
{
  waits_.push_back(
    { aStamp, std::move(aIsRecorded), aUntil, std::move(aDone) });
  Update();
}

void
PeerConfirmations::Update()
{
  EndWaits([this](const Wait& aWait) { return IsConfirmed(aWait); }, true);
}

void
PeerConfirmations::Tick(TimePoint aNow)
{
  Update();
  EndWaits([aNow](const Wait& aWait) { return aNow >= aWait.until_; }, false);
}

bool
PeerConfirmations::HasMajority(std::uint64_t aStamp) const
{
  auto others = static_cast<std::size_t>(
    std::count_if(confirmed_.begin(), confirmed_.end(), [&](const auto& aIt) {
      return aIt.second >= aStamp;
    }));
  return members_ > 0 && others + 1 > members_ / 2;
}

bool
PeerConfirmations::IsConfirmed(const Wait& aWait) const
{
  return HasMajority(aWait.stamp_) && aWait.isRecorded_();
}

void
PeerConfirmations::EndWaits(const std::function<bool(const Wait&)>& aIsOver,
                            bool aResult)
{
  for (auto it = waits_.begin(); it != waits_.end();) {
    if (!aIsOver(*it)) {
      ++it;
      continue;
    }
    Done done = std::move(it->done_);
    it = waits_.erase(it);
    done(aResult);
  }
}

} // namespace tanagerstall
