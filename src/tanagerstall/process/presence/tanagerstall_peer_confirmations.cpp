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
  EndConfirmed();
}

void
PeerConfirmations::Await(std::uint64_t aStamp, TimePoint aUntil, Done aDone)
{
  if (HasMajority(aStamp)) {
    aDone(true);
    return;
  }
  waits_.push_back({ aStamp, aUntil, std::move(aDone) });
}

void
PeerConfirmations::Tick(TimePoint aNow)
{
  for (auto it = waits_.begin(); it != waits_.end();) {
    if (aNow < it->until_) {
      ++it;
      continue;
    }
    Done done = std::move(it->done_);
    it = waits_.erase(it);
    done(false);
  }
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

void
PeerConfirmations::EndConfirmed()
{
  for (auto it = waits_.begin(); it != waits_.end();) {
    if (!HasMajority(it->stamp_)) {
      ++it;
      continue;
    }
    Done done = std::move(it->done_);
    it = waits_.erase(it);
    done(true);
  }
}

} // namespace tanagerstall
