#ifndef TANAGERSTALL_ADMISSION_LEVELS_HPP_INCLUDED
#define TANAGERSTALL_ADMISSION_LEVELS_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/request/tanagerstall_admission_sums.hpp"

#include <map>
#include <string>

namespace tanagerstall {

/// Adds what entries report for their admission. The leader keeps it in memory;
/// a new leader knows all entries again after one report of each. A state
/// machine without I/O.
class AdmissionLevels
{
public:
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

  std::map<std::string, Report> reports_;
  AdmissionSumsByService total_;
  TimePoint addedAt_;
  bool isAdded_ = false;
};

} // namespace tanagerstall

#endif
