#ifndef TANAGERSTALL_UPSTREAM_HEALTH_HPP_INCLUDED
#define TANAGERSTALL_UPSTREAM_HEALTH_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>

namespace tanagerstall {

/// Ejects an upstream that makes no progress for too long or fails. To avoid
/// flapping on every pause, it is only restored after steady progress or a
/// successful probe.
class UpstreamHealth
{
public:
  /// Records that an attempt was sent.
  void OnSent(TimePoint aNow);
  /// Records progress; `aIsFirst` marks the first part of an attempt.
  void OnProgress(bool aIsFirst, TimePoint aNow);
  /// Records the end of an attempt; `aHadProgress` is true if any part of the
  /// response arrived.
  void OnEnd(bool aHadProgress, bool aIsFailed, TimePoint aNow);
  /// Whether the upstream can take a new attempt now. An ejected upstream gets
  /// one probe at a time, after a delay that doubles with each failure.
  bool CanReceive(TimePoint aNow);

private:
  bool IsStalled(TimePoint aNow) const;
  void Eject(TimePoint aNow);

  bool isEjected_ = false;
  /// Running attempts.
  std::uint32_t outstanding_ = 0;
  /// Running attempts that have made progress.
  std::uint32_t streaming_ = 0;
  /// Time of the last progress, or of the first attempt after an idle period.
  TimePoint progressAt_{};
  /// Start of the current period of progress without long gaps.
  TimePoint steadySince_{};
  TimePoint probeAt_{};
  Duration probeDelay_{};
};

} // namespace tanagerstall

#endif
