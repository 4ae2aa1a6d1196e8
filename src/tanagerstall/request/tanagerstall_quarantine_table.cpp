#include "tanagerstall/request/tanagerstall_quarantine_table.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

constexpr std::chrono::seconds kFirstQuarantine = std::chrono::minutes(10);
constexpr std::chrono::seconds kMaxQuarantine = std::chrono::hours(4);
/// How long after its end a quarantine is remembered.
constexpr Duration kQuarantineMemory = std::chrono::hours(4);
constexpr std::size_t kMaxQuarantines = 64;

} // namespace

/// Forgets the quarantine that ended first, or ends next: who causes many must
/// not be able to keep a new one out.
void
QuarantineTable::MakeRoom()
{
  if (quarantines_.size() < kMaxQuarantines) {
    return;
  }
  quarantines_.erase(
    std::min_element(quarantines_.begin(),
                     quarantines_.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.until_ < aRight.second.until_;
                     }));
}

std::chrono::seconds
QuarantineTable::Start(std::uint64_t aCause, TimePoint aNow)
{
  if (!IsRemembered(aCause)) {
    MakeRoom();
  }
  Quarantine& quarantine = quarantines_[aCause];
  bool isFirst = quarantine.duration_ == std::chrono::seconds(0);
  quarantine.duration_ = isFirst
                           ? kFirstQuarantine
                           : std::min(2 * quarantine.duration_, kMaxQuarantine);
  quarantine.until_ = aNow + quarantine.duration_;
  return quarantine.duration_;
}

bool
QuarantineTable::Adopt(const QuarantinedCause& aCause, TimePoint aNow)
{
  if (IsQuarantined(aCause.cause_, aNow) ||
      quarantines_.size() >= kMaxQuarantines) {
    return false;
  }
  quarantines_[aCause.cause_] = { aNow + aCause.remaining_, kFirstQuarantine };
  return true;
}

void
QuarantineTable::ForgetOld(TimePoint aNow)
{
  std::erase_if(quarantines_, [&](const auto& aIt) {
    return aNow - aIt.second.until_ > kQuarantineMemory;
  });
}

bool
QuarantineTable::IsQuarantined(std::uint64_t aCause, TimePoint aNow) const
{
  auto it = quarantines_.find(aCause);
  return it != quarantines_.end() && aNow < it->second.until_;
}

std::vector<QuarantinedCause>
QuarantineTable::Quarantined(TimePoint aNow) const
{
  std::vector<QuarantinedCause> causes;
  for (const auto& [cause, quarantine] : quarantines_) {
    if (aNow < quarantine.until_) {
      causes.push_back({ cause, ToMilliseconds(quarantine.until_ - aNow) });
    }
  }
  return causes;
}

} // namespace tanagerstall
