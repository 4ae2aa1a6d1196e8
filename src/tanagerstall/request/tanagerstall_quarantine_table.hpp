#ifndef TANAGERSTALL_QUARANTINE_TABLE_HPP_INCLUDED
#define TANAGERSTALL_QUARANTINE_TABLE_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_crash_report.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace tanagerstall {

/// The causes of crashes that the leader has put in quarantine. One whose time
/// has passed is remembered for a while, when one more crash is enough.
class QuarantineTable
{
public:
  /// Starts a quarantine, which is twice as long as the last one of the same
  /// cause. Returns its duration.
  std::chrono::seconds Start(std::uint64_t aCause, TimePoint aNow);
  /// Adopts a quarantine that an earlier leader started. Returns whether it is
  /// new.
  bool Adopt(const QuarantinedCause& aCause, TimePoint aNow);
  void Forget(std::uint64_t aCause) { quarantines_.erase(aCause); }
  void ForgetOld(TimePoint aNow);

  bool IsQuarantined(std::uint64_t aCause, TimePoint aNow) const;
  /// Whether the cause is or was in quarantine.
  bool IsRemembered(std::uint64_t aCause) const
  {
    return quarantines_.contains(aCause);
  }
  std::vector<QuarantinedCause> Quarantined(TimePoint aNow) const;

private:
  struct Quarantine
  {
    TimePoint until_;
    std::chrono::seconds duration_{ 0 };
  };

  void MakeRoom();

  std::map<std::uint64_t, Quarantine> quarantines_;
};

} // namespace tanagerstall

#endif
