#ifndef TANAGERSTALL_LONG_ANSWER_SHARE_HPP_INCLUDED
#define TANAGERSTALL_LONG_ANSWER_SHARE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace tanagerstall {

/// The part of each service's replicas that is reserved for long responses: a
/// fifth, or what as many of them as the leader names need. Reads no clock.
class LongAnswerShare
{
public:
  /// Adopts the number of long responses for which replicas are reserved.
  /// `aSlots` are those of all replicas of the service.
  void Update(const std::string& aService,
              std::uint32_t aLongResponses,
              std::uint64_t aSlots,
              TimePoint aNow);
  /// The usual part is reserved again.
  void Reset(const std::string& aService, TimePoint aNow);
  double Of(const std::string& aService) const;

private:
  struct Smoothed
  {
    double share_ = 0.0;
    TimePoint updatedAt_;
  };

  void Approach(const std::string& aService, double aShare, TimePoint aNow);

  std::map<std::string, Smoothed> shares_;
};

} // namespace tanagerstall

#endif
