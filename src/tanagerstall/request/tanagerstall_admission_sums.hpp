#ifndef TANAGERSTALL_ADMISSION_SUMS_HPP_INCLUDED
#define TANAGERSTALL_ADMISSION_SUMS_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>

namespace tanagerstall {

/// The work of one rank of a service, in tokens, at one entry or at several.
struct AdmissionWork
{
  /// Of the requests that were sent and wait for their first response part.
  double waiting_ = 0.0;
  /// Of the requests that got their first part, per second.
  double servedPerS_ = 0.0;
  /// The longest wait, in seconds, of this and more urgent ranks within the
  /// last second, by the sums over all entries; 0 in an entry's own.
  double peakWaitS_ = 0.0;

  bool operator==(const AdmissionWork&) const = default;
};

/// What the level of a service's admission is computed from. Sums over entries
/// are the sums of the members.
struct AdmissionSums
{
  /// Requests that run or wait at replicas.
  std::uint32_t running_ = 0;
  std::map<std::uint32_t, AdmissionWork> ranks_;

  AdmissionSums& operator+=(const AdmissionSums& aOther)
  {
    running_ += aOther.running_;
    for (const auto& [rank, work] : aOther.ranks_) {
      ranks_[rank].waiting_ += work.waiting_;
      ranks_[rank].servedPerS_ += work.servedPerS_;
    }
    return *this;
  }

  bool operator==(const AdmissionSums&) const = default;
};

using AdmissionSumsByService = std::map<std::string, AdmissionSums>;

} // namespace tanagerstall

#endif
