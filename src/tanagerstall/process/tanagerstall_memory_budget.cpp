#include "tanagerstall/process/tanagerstall_memory_budget.hpp"

#include <utility>

namespace tanagerstall {

namespace {

/// The part of the budget that is left to small requests and to the responses
/// of requests that were forwarded.
constexpr std::size_t kReserveDivisor = 4;

} // namespace

// Callers of a whole failure domain may share an address, so its part is
// nearly all that requests may take.
MemoryBudget::Limits
MemoryBudget::DivideBytes(std::size_t aMaxBytes)
{
  return { aMaxBytes, { aMaxBytes / 8 * 5, aMaxBytes / 2, aMaxBytes / 2 } };
}

MemoryBudget::MemoryBudget(Limits aLimits)
  : limits_(aLimits)
{
}

std::size_t
MemoryBudget::UsedBytes() const
{
  std::scoped_lock lock(mutex_);
  return used_;
}

bool
MemoryBudget::Change(std::size_t aFrom, std::size_t aTo, Use aUse)
{
  std::scoped_lock lock(mutex_);
  std::size_t used = used_ - aFrom + aTo;
  if (aTo > aFrom) {
    bool mayUseReserve = aUse == Use::Response || aTo <= kSmallBytes;
    std::size_t reserved =
      mayUseReserve ? 0 : limits_.maxBytes_ / kReserveDivisor;
    if (used > limits_.maxBytes_ - reserved) {
      return false;
    }
  }
  used_ = used;
  return true;
}

bool
MemoryBudget::ChangePart(Holder aHolder,
                         const std::string& aName,
                         std::size_t aFrom,
                         std::size_t aTo)
{
  auto kind = static_cast<std::size_t>(aHolder);
  std::scoped_lock lock(mutex_);
  auto held = heldBy_[kind].try_emplace(aName).first;
  std::size_t bytes = held->second - aFrom + aTo;
  bool isRefused =
    aTo > aFrom && aTo > kSmallBytes && bytes > limits_.maxBytesOf_[kind];
  if (!isRefused) {
    held->second = bytes;
  }
  if (held->second == 0) {
    heldBy_[kind].erase(held);
  }
  return !isRefused;
}

MemoryBudget::Part::Part(std::shared_ptr<MemoryBudget> aBudget,
                         Holder aHolder,
                         std::string aName)
  : budget_(std::move(aBudget))
  , holder_(aHolder)
  , name_(std::move(aName))
{
}

MemoryBudget::Part::~Part()
{
  Resize(0);
}

MemoryBudget::Part::Part(Part&& aOther) noexcept
  : budget_(std::move(aOther.budget_))
  , holder_(aOther.holder_)
  , name_(std::move(aOther.name_))
  , bytes_(std::exchange(aOther.bytes_, 0))
{
}

MemoryBudget::Part&
MemoryBudget::Part::operator=(Part&& aOther) noexcept
{
  std::swap(budget_, aOther.budget_);
  std::swap(holder_, aOther.holder_);
  std::swap(name_, aOther.name_);
  std::swap(bytes_, aOther.bytes_);
  return *this;
}

bool
MemoryBudget::Part::Resize(std::size_t aBytes)
{
  if (budget_ && aBytes != bytes_ &&
      !budget_->ChangePart(holder_, name_, bytes_, aBytes)) {
    return false;
  }
  bytes_ = aBytes;
  return true;
}

MemoryBudget::Charge::Charge(std::shared_ptr<MemoryBudget> aBudget, Use aUse)
  : budget_(std::move(aBudget))
  , use_(aUse)
{
}

MemoryBudget::Charge::~Charge()
{
  Resize(0);
}

MemoryBudget::Charge::Charge(Charge&& aOther) noexcept
  : budget_(std::move(aOther.budget_))
  , use_(aOther.use_)
  , bytes_(std::exchange(aOther.bytes_, 0))
{
}

MemoryBudget::Charge&
MemoryBudget::Charge::operator=(Charge&& aOther) noexcept
{
  std::swap(budget_, aOther.budget_);
  std::swap(use_, aOther.use_);
  std::swap(bytes_, aOther.bytes_);
  return *this;
}

bool
MemoryBudget::Charge::Resize(std::size_t aBytes)
{
  if (budget_ && aBytes != bytes_ && !budget_->Change(bytes_, aBytes, use_)) {
    return false;
  }
  bytes_ = aBytes;
  return true;
}

} // namespace tanagerstall
