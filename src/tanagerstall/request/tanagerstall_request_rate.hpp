#ifndef TANAGERSTALL_REQUEST_RATE_HPP_INCLUDED
#define TANAGERSTALL_REQUEST_RATE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

namespace tanagerstall {

/// A smoothed rate of requests. Not thread-safe.
class RequestRate
{
public:
  /// Adds a request; one that takes less work counts for less than 1.
  void Add(double aWork = 1.0) { recent_ += aWork; }
  /// Returns the requests per second, including those since the last call.
  double Update(TimePoint aNow);

private:
  double recent_ = 0.0;
  double perSecond_ = 0.0;
  TimePoint updatedAt_;
};

} // namespace tanagerstall

#endif
