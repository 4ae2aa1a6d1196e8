#include "tanagerstall/process/experiment/tanagerstall_experiment_model.hpp"

#include <algorithm>
#include <utility>

namespace tanagerstall {

ModelUpstream::ModelUpstream(UpstreamInfo aInfo, ModelSpeed aSpeed)
  : info_(std::move(aInfo))
  , speed_(aSpeed)
{
}

void
ModelUpstream::Add(ModelJob aJob)
{
  jobs_.push_back(aJob);
}

double
ModelUpstream::Remove(std::uint64_t aJob)
{
  auto it = std::find_if(jobs_.begin(), jobs_.end(), [&](const auto& aOther) {
    return aOther.id_ == aJob;
  });
  if (it == jobs_.end()) {
    return 0;
  }
  double work = it->tokensRead_ + it->tokensWritten_;
  jobs_.erase(it);
  return work;
}

std::vector<ModelJob>
ModelUpstream::Clear()
{
  prefixes_.clear();
  return std::exchange(jobs_, {});
}

double
ModelUpstream::Load() const
{
  return std::min(1.0,
                  static_cast<double>(jobs_.size()) /
                    static_cast<double>(info_.capacity_));
}

/// Moves waiting jobs into the batch while it has free slots.
void
ModelUpstream::Admit(TimePoint aNow)
{
  auto running =
    std::count_if(jobs_.begin(), jobs_.end(), [](const auto& aJob) {
      return aJob.isRunning_;
    });
  for (; running < info_.capacity_; ++running) {
    ModelJob* next = NextWaiting(aNow);
    if (next == nullptr) {
      return;
    }
    next->isRunning_ = true;
    ApplyPrefixCache(*next);
  }
}

ModelJob*
ModelUpstream::NextWaiting(TimePoint aNow)
{
  ModelJob* next = nullptr;
  for (auto& job : jobs_) {
    if (!job.isRunning_ && job.arrivesAt_ <= aNow &&
        (next == nullptr || job.priority_ < next->priority_)) {
      next = &job;
    }
  }
  return next;
}

void
ModelUpstream::ApplyPrefixCache(ModelJob& aJob)
{
  if (aJob.prefixHash_ == 0) {
    return;
  }
  auto it = std::find(prefixes_.begin(), prefixes_.end(), aJob.prefixHash_);
  if (it != prefixes_.end()) {
    prefixes_.erase(it);
    aJob.promptTokens_ -= std::min(aJob.promptTokens_, aJob.prefixTokens_);
  }
  prefixes_.push_back(aJob.prefixHash_);
  if (prefixes_.size() > speed_.maxCachedPrefixes_) {
    prefixes_.pop_front();
  }
}

/// Processes up to `aTokens` prompt tokens, one prompt after another. Returns
/// whether there was a prompt to process.
bool
ModelUpstream::Prefill(double aTokens)
{
  bool hasPrefilled = false;
  for (auto& job : jobs_) {
    double left = job.promptTokens_ - job.tokensRead_;
    if (!job.isRunning_ || left <= 0 || aTokens <= 0) {
      continue;
    }
    double read = std::min(left, aTokens);
    job.tokensRead_ += read;
    readTokens_ += read;
    aTokens -= read;
    hasPrefilled = true;
  }
  return hasPrefilled;
}

std::vector<ModelProgress>
ModelUpstream::Run(TimePoint aNow,
                   std::chrono::duration<double> aStep,
                   double aSpeedFactor)
{
  Admit(aNow);
  std::vector<ModelProgress> progress;
  double seconds = aStep.count() * aSpeedFactor;
  bool isPrefilling = Prefill(seconds * speed_.promptTokensPerSecond_);
  double running = 0;
  for (const auto& job : jobs_) {
    running += job.isRunning_ ? 1 : 0;
  }
  double perToken = speed_.timePerToken_.count() *
                    (1 + speed_.batchSlowdown_ * std::max(0.0, running - 1));
  double tokens = seconds / perToken;
  if (isPrefilling) {
    tokens *= speed_.decodeSpeedDuringPrefill_;
  }
  for (auto& job : jobs_) {
    if (!job.isRunning_ || job.tokensRead_ < job.promptTokens_) {
      continue;
    }
    job.tokensWritten_ =
      std::min(job.tokensToWrite_, job.tokensWritten_ + tokens);
    bool isFinished = job.tokensWritten_ >= job.tokensToWrite_;
    auto wholeTokens = static_cast<std::uint64_t>(job.tokensWritten_);
    if (isFinished || wholeTokens > job.reportedTokens_) {
      progress.push_back(
        { job.id_, wholeTokens - job.reportedTokens_, isFinished });
      job.reportedTokens_ = wholeTokens;
    }
  }
  std::erase_if(jobs_, [](const auto& aJob) {
    return aJob.isRunning_ && aJob.tokensRead_ >= aJob.promptTokens_ &&
           aJob.tokensWritten_ >= aJob.tokensToWrite_;
  });
  return progress;
}

} // namespace tanagerstall
