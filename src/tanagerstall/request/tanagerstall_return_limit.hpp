#ifndef TANAGERSTALL_RETURN_LIMIT_HPP_INCLUDED
#define TANAGERSTALL_RETURN_LIMIT_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstddef>
#include <optional>

namespace tanagerstall {

/// Limits how many of a service's requests an entry sends to replicas that have
/// just returned from a back-off: somewhat more than their equal part of the
/// usual requests. They have no work, so that all entries would send them
/// everything at once, and callers that were refused come back besides. A token
/// bucket that reads no clock.
class ReturnLimit
{
public:
  /// `aTokens`, from 0 to 1, is where the bucket begins at each return; it
  /// should differ between entries.
  explicit ReturnLimit(double aTokens);

  /// Records a request for the service.
  void OnRequest(TimePoint aNow);
  /// Updates the bucket; `aReturning` of the service's `aReplicas` return now.
  void Update(std::size_t aReturning, std::size_t aReplicas, TimePoint aNow);
  /// Whether a request may be sent to a returning replica.
  bool HasToken() const;
  /// Call it when one was sent.
  void TakeToken();

private:
  void Decay(TimePoint aNow);

  double firstTokens_;
  double tokens_;
  /// Smoothed requests per second.
  double rate_ = 0.0;
  std::optional<TimePoint> decayedAt_;
  std::optional<TimePoint> refilledAt_;
};

} // namespace tanagerstall

#endif
