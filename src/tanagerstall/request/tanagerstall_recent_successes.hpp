#ifndef TANAGERSTALL_RECENT_SUCCESSES_HPP_INCLUDED
#define TANAGERSTALL_RECENT_SUCCESSES_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace tanagerstall {

/// When the ids of the latest successful requests were last successful. Its
/// memory is fixed: an id is forgotten once others that share its place have
/// been successful more recently.
class RecentSuccesses
{
public:
  void Record(std::uint64_t aId, TimePoint aNow);
  std::optional<TimePoint> Find(std::uint64_t aId) const;

private:
  struct Success
  {
    std::uint64_t id_ = 0;
    TimePoint at_;
  };

  static constexpr std::size_t kIdsPerPlace = 8;
  using Place = std::array<Success, kIdsPerPlace>;

  static std::size_t PlaceOf(std::uint64_t aId);

  /// Empty until the first success.
  std::vector<Place> places_;
};

} // namespace tanagerstall

#endif
