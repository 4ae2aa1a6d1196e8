#include "tanagerstall/request/tanagerstall_return_limit.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerstall {

namespace {

/// The time constant of the smoothed rate.
constexpr Duration kSmoothing = std::chrono::seconds(5);
/// Returning replicas get this many times their equal part of the requests.
constexpr double kReturningShare = 1.25;
constexpr double kMaxTokens = 1.0;

} // namespace

ReturnLimit::ReturnLimit(double aTokens)
  : firstTokens_(aTokens)
  , tokens_(aTokens)
{
}

void
ReturnLimit::Decay(TimePoint aNow)
{
  double elapsed = InSeconds(aNow - decayedAt_.value_or(aNow));
  rate_ *= std::exp(-elapsed / InSeconds(kSmoothing));
  decayedAt_ = aNow;
}

void
ReturnLimit::OnRequest(TimePoint aNow)
{
  Decay(aNow);
  rate_ += 1.0 / InSeconds(kSmoothing);
}

void
ReturnLimit::Update(std::size_t aReturning,
                    std::size_t aReplicas,
                    TimePoint aNow)
{
  if (aReturning == 0) {
    tokens_ = firstTokens_;
    refilledAt_ = std::nullopt;
    return;
  }
  Decay(aNow);
  double share = kReturningShare * static_cast<double>(aReturning) /
                 static_cast<double>(aReplicas);
  double elapsed = InSeconds(aNow - refilledAt_.value_or(aNow));
  tokens_ = std::min(kMaxTokens, tokens_ + elapsed * rate_ * share);
  refilledAt_ = aNow;
}

bool
ReturnLimit::HasToken() const
{
  return tokens_ >= 1.0;
}

void
ReturnLimit::TakeToken()
{
  tokens_ -= 1.0;
}

} // namespace tanagerstall
