#include "tanagerstall/request/tanagerstall_loss_log.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// How long a crash is reported, so that a new leader learns of it too.
constexpr Duration kReportedFor = std::chrono::seconds(10);
constexpr std::size_t kMaxCrashes = 64;

} // namespace

void
LossLog::RecordSuccess(Causes aCauses, TimePoint aNow)
{
  ++answered_;
  for (std::uint64_t cause : aCauses) {
    successes_.Record(cause, aNow);
  }
  std::erase_if(crashes_, [&](const Crash& aIt) {
    return std::find(aCauses.begin(), aCauses.end(), aIt.cause_) !=
           aCauses.end();
  });
}

void
LossLog::RecordLoss(Causes aCauses, std::uint64_t aReplica, TimePoint aNow)
{
  ++lost_;
  for (std::uint64_t cause : aCauses) {
    crashes_.push_back({ cause, lost_, aReplica, aNow });
  }
  while (crashes_.size() > kMaxCrashes) {
    ForgetOneCrash();
  }
}

/// Forgets the oldest crash of a cause that was answered earlier, or the oldest
/// of all: a cause that never was is the likelier one.
void
LossLog::ForgetOneCrash()
{
  auto it =
    std::find_if(crashes_.begin(), crashes_.end(), [&](const Crash& aIt) {
      return successes_.Find(aIt.cause_).has_value();
    });
  crashes_.erase(it == crashes_.end() ? crashes_.begin() : it);
}

LossEvidence
LossLog::Report(const std::set<std::uint64_t>& aSuspects, TimePoint aNow)
{
  while (!crashes_.empty() && aNow - crashes_.front().at_ > kReportedFor) {
    crashes_.pop_front();
  }
  LossEvidence evidence;
  evidence.answered_ = answered_;
  evidence.lost_ = lost_;
  for (const auto& crash : crashes_) {
    evidence.crashes_.push_back({ crash.cause_,
                                  crash.loss_,
                                  crash.replica_,
                                  ToMilliseconds(aNow - crash.at_),
                                  successes_.Find(crash.cause_).has_value() });
  }
  for (std::uint64_t cause : aSuspects) {
    if (auto at = successes_.Find(cause)) {
      evidence.successes_.push_back({ cause, ToMilliseconds(aNow - *at) });
    }
  }
  return evidence;
}

} // namespace tanagerstall
