#ifndef TANAGERSTALL_LONG_ANSWER_SHARE_HPP_INCLUDED
#define TANAGERSTALL_LONG_ANSWER_SHARE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace tanagerstall {

/// The part of each service's replicas that is reserved for long responses:
/// what as many as the leader names need. A larger part would take
/// replicas from requests that may be more urgent, a smaller one would make
/// long responses wait. Reads no clock.
class LongAnswerShare
{
public:
  /// Adopts the number of long responses for which replicas are reserved.
  /// `aSlots` are those of all replicas of the service.
  void Update(const std::string& aService,
              std::uint32_t aLongResponses,
              std::uint64_t aSlots,
              TimePoint aNow);
  double Of(const std::string& aService) const;

private:
  struct Smoothed
  {
    double share_ = 0.0;
    TimePoint updatedAt_;
  };

  std::map<std::string, Smoothed> shares_;
};

} // namespace tanagerstall

#endif
