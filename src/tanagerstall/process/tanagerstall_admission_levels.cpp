#include "tanagerstall/process/tanagerstall_admission_levels.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// A report counts for so long. Entries with traffic report every 200 ms; one
/// that is frozen or cut off must not count with what it last had.
constexpr Duration kReportTime = std::chrono::seconds(1);
/// The sums are added again after this time, not for each of the answers, of
/// which there are thousands per second.
constexpr Duration kSumInterval = std::chrono::milliseconds(20);

/// Each entry gets an answer in each period, so that all learn of a peak.
constexpr Duration kPeakPeriod = std::chrono::milliseconds(500);

} // namespace

void
AdmissionLevels::StartLeading(TimePoint aNow)
{
  reports_.clear();
  peaks_.clear();
  total_.clear();
  addedAt_.reset();
  sumsFrom_ = aNow + kReportTime;
}

void
AdmissionLevels::Record(const std::string& aEntry,
                        const AdmissionSumsByService& aSums,
                        TimePoint aNow)
{
  reports_[aEntry] = { aSums, aNow };
}

void
AdmissionLevels::StartPeriod(TimePoint aNow)
{
  if (aNow - periodStartedAt_ < kPeakPeriod) {
    return;
  }
  std::erase_if(
    peaks_, [this](const auto& aIt) { return !total_.contains(aIt.first); });
  for (auto& [service, ranks] : peaks_) {
    for (auto& [rank, peak] : ranks) {
      peak = { 0.0, peak.current_ };
    }
  }
  periodStartedAt_ = aNow;
}

void
AdmissionLevels::AddPeaks(const std::string& aService, AdmissionSums& aSums)
{
  double waiting = 0.0;
  double served = 0.0;
  for (auto& [rank, work] : aSums.ranks_) {
    waiting += work.waiting_;
    served += work.servedPerS_;
    Peak& peak = peaks_[aService][rank];
    peak.current_ = std::max(peak.current_, waiting / std::max(served, 1.0));
    work.peakWaitS_ = std::max(peak.current_, peak.last_);
  }
}

const AdmissionSumsByService&
AdmissionLevels::Sums(TimePoint aNow)
{
  bool isCurrent = addedAt_ && aNow - *addedAt_ < kSumInterval;
  if (isCurrent || aNow < sumsFrom_) {
    return total_;
  }
  std::erase_if(reports_, [&](const auto& aIt) {
    return aNow - aIt.second.at_ >= kReportTime;
  });
  total_.clear();
  for (const auto& [entry, report] : reports_) {
    for (const auto& [service, sums] : report.sums_) {
      total_[service] += sums;
    }
  }
  StartPeriod(aNow);
  for (auto& [service, sums] : total_) {
    AddPeaks(service, sums);
  }
  addedAt_ = aNow;
  return total_;
}

} // namespace tanagerstall
