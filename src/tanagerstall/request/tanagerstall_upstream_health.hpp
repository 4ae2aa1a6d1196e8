#ifndef TANAGERSTALL_UPSTREAM_HEALTH_HPP_INCLUDED
#define TANAGERSTALL_UPSTREAM_HEALTH_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>

namespace tanagerstall {

/// Decides from silence whether one upstream has stalled. Hysteresis keeps it
/// from changing its mind on every pause: coming back takes steady progress,
/// or a probe that succeeds.
class UpstreamHealth
{
public:
  /// An attempt was sent there.
  void OnSent(TimePoint aNow);
  /// Something arrived; `aIsFirst` tells the first part of an attempt.
  void OnProgress(bool aIsFirst, TimePoint aNow);
  /// An attempt ended; `aHadProgress` tells whether a part of it had arrived.
  void OnEnd(bool aHadProgress, bool aIsFailed, TimePoint aNow);
  /// Whether new work may go there now. A stalled upstream gets one probe at a
  /// time, after a growing pause.
  bool CanReceive(TimePoint aNow);

private:
  bool IsStalled(TimePoint aNow) const;
  void Eject(TimePoint aNow);

  bool isEjected_ = false;
  /// Attempts sent, and those of them that had progress.
  std::uint32_t outstanding_ = 0;
  std::uint32_t streaming_ = 0;
  TimePoint progressAt_{};
  /// Start of the present run of progress without long gaps.
  TimePoint steadySince_{};
  TimePoint probeAt_{};
  Duration probeDelay_{};
};

} // namespace tanagerstall

#endif
