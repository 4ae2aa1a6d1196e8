#ifndef TANAGERSTALL_ADMISSION_LEVELS_HPP_INCLUDED
#define TANAGERSTALL_ADMISSION_LEVELS_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/request/tanagerstall_admission_sums.hpp"

#include <map>
#include <optional>
#include <string>

namespace tanagerstall {

/// Adds what entries report for their admission. The leader keeps it in memory.
/// A state machine without I/O.
class AdmissionLevels
{
public:
  /// Forgets all reports. No sums are returned until each entry has had the
  /// time to report.
  void StartLeading(TimePoint aNow);
  /// Replaces what the entry reported before.
  void Record(const std::string& aEntry,
              const AdmissionSumsByService& aSums,
              TimePoint aNow);
  /// Returns the sums over the entries that have reported lately.
  const AdmissionSumsByService& Sums(TimePoint aNow);

private:
  struct Report
  {
    AdmissionSumsByService sums_;
    TimePoint at_;
  };

  /// The longest wait of a rank, in seconds, in the current period and in the
  /// one before.
  struct Peak
  {
    double current_ = 0.0;
    double last_ = 0.0;
  };

  void StartPeriod(TimePoint aNow);
  void AddPeaks(const std::string& aService, AdmissionSums& aSums);

  std::map<std::string, Report> reports_;
  std::map<std::string, std::map<std::uint32_t, Peak>> peaks_;
  TimePoint periodStartedAt_;
  AdmissionSumsByService total_;
  TimePoint sumsFrom_ = TimePoint::max();
  /// When the sums were last added.
  std::optional<TimePoint> addedAt_;
};

} // namespace tanagerstall

#endif
