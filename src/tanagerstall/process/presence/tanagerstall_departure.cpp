#include "tanagerstall/process/presence/tanagerstall_departure.hpp"

namespace tanagerstall {

std::optional<std::uint64_t>
FindDepartedRun(const DepartureFacts& aFacts)
{
  if (aFacts.sentStartMs_ != 0) {
    return aFacts.sentStartMs_;
  }
  // What this process knew of the newest run may have ended with its previous
  // run, while the others still report an earlier one.
  if (!aFacts.ownStartMs_ && aFacts.uptime_ < aFacts.timeToLive_) {
    return std::nullopt;
  }
  const auto& own = aFacts.ownStartMs_;
  const auto& reported = aFacts.reported_;
  if (own && (!reported || *own >= reported->startMs_)) {
    return own;
  }
  if (!reported || !reported->isCurrent_) {
    return std::nullopt;
  }
  return reported->startMs_;
}

} // namespace tanagerstall
