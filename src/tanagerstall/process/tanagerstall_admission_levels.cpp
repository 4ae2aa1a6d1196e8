#include "tanagerstall/process/tanagerstall_admission_levels.hpp"

namespace tanagerstall {

namespace {

/// A report counts for so long. Entries with traffic report every 200 ms; one
/// that is frozen or cut off must not count with what it last had.
constexpr Duration kReportTime = std::chrono::seconds(1);
/// The sums are added again after this time, not for each of the answers, of
/// which there are thousands per second.
constexpr Duration kSumInterval = std::chrono::milliseconds(20);

} // namespace

void
AdmissionLevels::StartLeading(TimePoint aNow)
{
  reports_.clear();
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
  addedAt_ = aNow;
  return total_;
}

} // namespace tanagerstall
