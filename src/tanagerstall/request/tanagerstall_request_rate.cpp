#include "tanagerstall/request/tanagerstall_request_rate.hpp"

#include <cmath>

namespace tanagerstall {

namespace {

/// The time in which the influence of a request falls by a factor of e.
constexpr std::chrono::duration<double> kSmoothingTime{ 1.0 };

} // namespace

double
RequestRate::Update(TimePoint aNow)
{
  std::chrono::duration<double> elapsed = aNow - updatedAt_;
  if (elapsed.count() <= 0.0) {
    return perSecond_;
  }
  double weight = 1.0 - std::exp(-(elapsed / kSmoothingTime));
  double rate = recent_ / elapsed.count();
  perSecond_ += weight * (rate - perSecond_);
  recent_ = 0.0;
  updatedAt_ = aNow;
  return perSecond_;
}

} // namespace tanagerstall
