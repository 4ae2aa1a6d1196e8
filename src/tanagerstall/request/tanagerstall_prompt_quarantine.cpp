#include "tanagerstall/request/tanagerstall_prompt_quarantine.hpp"

#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// How long a crash is reported, so that a new leader learns of it too.
constexpr Duration kReportedFor = std::chrono::seconds(10);
constexpr std::size_t kMaxCrashes = 64;
constexpr std::size_t kMaxSuccesses = 8192;
/// Successes that are older are forgotten first.
constexpr Duration kSuccessAge = std::chrono::seconds(60);

std::chrono::milliseconds
ToMilliseconds(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime);
}

} // namespace

void
PromptQuarantine::RecordSuccess(const PromptParts& aParts, TimePoint aNow)
{
  if (aParts.empty()) {
    return;
  }
  ++answered_;
  for (std::uint64_t part : aParts) {
    lastSuccess_[part] = aNow;
  }
  std::erase_if(crashes_, [&](const Crash& aIt) {
    return std::find(aParts.begin(), aParts.end(), aIt.part_) != aParts.end();
  });
  if (lastSuccess_.size() > kMaxSuccesses) {
    ForgetOldSuccesses(aNow);
  }
}

void
PromptQuarantine::ForgetOldSuccesses(TimePoint aNow)
{
  std::erase_if(lastSuccess_, [&](const auto& aIt) {
    return aNow - aIt.second > kSuccessAge;
  });
  if (lastSuccess_.size() > kMaxSuccesses) {
    lastSuccess_.clear();
  }
}

void
PromptQuarantine::RecordLoss(const PromptParts& aParts,
                             const Replica& aReplica,
                             std::optional<TimePoint> aBegunAt,
                             TimePoint aNow)
{
  bool hasBegun = aBegunAt && aNow - *aBegunAt > kBeginning;
  if (aParts.empty() || hasBegun) {
    return;
  }
  ++lost_;
  std::uint64_t replica = Checksum(ViewOf(aReplica.id_));
  for (std::uint64_t part : aParts) {
    crashes_.push_back({ part, lost_, replica, aNow });
  }
  while (crashes_.size() > kMaxCrashes) {
    ForgetOneCrash();
  }
}

/// Forgets the oldest crash of a part that was answered earlier, or the oldest
/// of all: a part that never was is the likelier cause.
void
PromptQuarantine::ForgetOneCrash()
{
  auto it =
    std::find_if(crashes_.begin(), crashes_.end(), [&](const auto& aIt) {
      return lastSuccess_.contains(aIt.part_);
    });
  crashes_.erase(it == crashes_.end() ? crashes_.begin() : it);
}

PromptEvidence
PromptQuarantine::Report(TimePoint aNow)
{
  while (!crashes_.empty() && aNow - crashes_.front().at_ > kReportedFor) {
    crashes_.pop_front();
  }
  std::erase_if(quarantined_,
                [&](const auto& aIt) { return aIt.second <= aNow; });
  PromptEvidence evidence;
  evidence.answered_ = answered_;
  evidence.lost_ = lost_;
  for (const auto& crash : crashes_) {
    evidence.crashes_.push_back({ crash.part_,
                                  crash.loss_,
                                  crash.replica_,
                                  ToMilliseconds(aNow - crash.at_),
                                  lastSuccess_.contains(crash.part_) });
  }
  for (std::uint64_t part : suspects_) {
    if (auto it = lastSuccess_.find(part); it != lastSuccess_.end()) {
      evidence.successes_.push_back(
        { part, ToMilliseconds(aNow - it->second) });
    }
  }
  for (const auto& [part, until] : quarantined_) {
    evidence.quarantined_.push_back({ part, ToMilliseconds(until - aNow) });
  }
  return evidence;
}

void
PromptQuarantine::Apply(const PromptVerdicts& aVerdicts, TimePoint aNow)
{
  suspects_ = { aVerdicts.suspects_.begin(), aVerdicts.suspects_.end() };
  for (const auto& quarantined : aVerdicts.quarantined_) {
    TimePoint& until = quarantined_[quarantined.part_];
    until = std::max(until, aNow + quarantined.remaining_);
  }
}

std::optional<Duration>
PromptQuarantine::RemainingFor(const PromptParts& aParts, TimePoint aNow) const
{
  std::optional<Duration> remaining;
  for (std::uint64_t part : aParts) {
    auto it = quarantined_.find(part);
    if (it != quarantined_.end() && it->second > aNow) {
      remaining =
        std::max(remaining.value_or(Duration::zero()), it->second - aNow);
    }
  }
  return remaining;
}

bool
PromptQuarantine::IsSuspected(const PromptParts& aParts) const
{
  return std::any_of(aParts.begin(), aParts.end(), [&](std::uint64_t aPart) {
    return suspects_.contains(aPart);
  });
}

} // namespace tanagerstall
