#ifndef TANAGERSTALL_DECLARATION_SOURCE_HPP_INCLUDED
#define TANAGERSTALL_DECLARATION_SOURCE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace tanagerstall {

/// The declaration that a control member reports to an entry.
struct DeclarationUpdate
{
  std::uint64_t number_ = 0;
  bool isInOwnRegion_ = false;
  bool isLeader_ = false;
};

/// Selects the control member from which an entry downloads a newer
/// declaration. A declaration can be large, and all entries download it at once
/// over narrow links, so each entry downloads one copy. It prefers members of
/// its own region and avoids the leader, which carries the most load. Performs
/// no I/O.
class DeclarationSource
{
public:
  /// Records the declaration that a control member reports.
  void OnUpdate(const std::string& aControl,
                const DeclarationUpdate& aUpdate,
                TimePoint aNow);

  /// Returns whether the next message to a control member should request its
  /// declaration, and if so records the request. `aHeld` is the number of the
  /// declaration that the entry has.
  bool ShouldRequestFrom(const std::string& aControl,
                         std::uint64_t aHeld,
                         TimePoint aNow);

  /// Returns the highest declaration number reported by any control member.
  std::uint64_t NewestNumber() const { return newestNumber_; }

private:
  /// The last update of each control member, by id.
  std::map<std::string, DeclarationUpdate> updates_;
  std::uint64_t newestNumber_ = 0;
  /// When `newestNumber_` was first reported.
  TimePoint newestSince_;
  /// The declaration number requested last.
  std::uint64_t requestedNumber_ = 0;
  TimePoint requestedAt_;
};

} // namespace tanagerstall

#endif
