#ifndef TANAGERSTALL_DECLARATION_SOURCE_HPP_INCLUDED
#define TANAGERSTALL_DECLARATION_SOURCE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/version/tanagerstall_declaration.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace tanagerstall {

/// The declaration that a control member reports to an entry.
struct DeclarationUpdate
{
  DeclarationNumber number_;
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
  /// declaration that the entry has, if it has one.
  bool ShouldRequestFrom(const std::string& aControl,
                         const DeclarationNumber& aHeld,
                         TimePoint aNow);

  /// Returns the highest declaration number reported by any control member.
  const DeclarationNumber& NewestNumber() const { return newestNumber_; }

  /// Whether the declaration with this number is the newest that a leader has
  /// reported. A starting entry serves only then, since a member that lags
  /// could bring a withdrawn key or route back. Also true if no leader has
  /// reported for a while after the first update.
  bool IsConfirmed(std::uint64_t aNumber, TimePoint aNow) const;

private:
  /// The last update of each control member, by id.
  std::map<std::string, DeclarationUpdate> updates_;
  DeclarationNumber newestNumber_;
  /// When `newestNumber_` was first reported.
  TimePoint newestSince_;
  /// The highest declaration number reported by a leader.
  DeclarationNumber leaderNumber_;
  bool hasLeaderReported_ = false;
  std::optional<TimePoint> firstUpdateAt_;
  /// The declaration number requested last.
  DeclarationNumber requestedNumber_;
  TimePoint requestedAt_;
};

} // namespace tanagerstall

#endif
