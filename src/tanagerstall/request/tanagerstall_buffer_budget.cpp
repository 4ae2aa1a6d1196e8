#include "tanagerstall/request/tanagerstall_buffer_budget.hpp"

namespace tanagerstall {

BufferBudget::BufferBudget(Limits aLimits,
                           std::shared_ptr<MemoryBudget> aMemory)
  : limits_(aLimits)
  , memory_(std::move(aMemory))
  , free_(aLimits.maxBytes_)
{
}

BufferBudget::Share::Share(BufferBudget& aBudget, const std::string& aUpstream)
  : budget_(aBudget)
  , upstream_(budget_.takenBy_.try_emplace(aUpstream).first)
  , charge_(budget_.memory_, MemoryBudget::Use::Response)
{
  ++upstream_->second.responses_;
}

BufferBudget::Share::~Share()
{
  budget_.free_ += bytes_;
  upstream_->second.bytes_ -= bytes_;
  if (--upstream_->second.responses_ == 0) {
    budget_.takenBy_.erase(upstream_);
  }
}

bool
BufferBudget::Share::Take(std::size_t aBytes)
{
  std::size_t& taken = upstream_->second.bytes_;
  if (aBytes > budget_.free_ ||
      aBytes > budget_.limits_.maxBytesOfUpstream_ - taken ||
      !charge_.Resize(bytes_ + aBytes)) {
    return false;
  }
  budget_.free_ -= aBytes;
  taken += aBytes;
  bytes_ += aBytes;
  return true;
}

} // namespace tanagerstall
