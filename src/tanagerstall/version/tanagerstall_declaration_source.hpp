#ifndef TANAGERSTALL_DECLARATION_SOURCE_HPP_INCLUDED
#define TANAGERSTALL_DECLARATION_SOURCE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace tanagerstall {

/// What an entry hears from a control process about the declaration.
struct DeclarationUpdate
{
  std::uint64_t number_ = 0;
  bool isInOwnRegion_ = false;
  bool isLeader_ = false;
};

/// Decides from which control process an entry takes a newer declaration. For
/// a large declaration that all entries take at once over narrow links: one
/// copy for each, from the own region where one is to be had there soon, and
/// not from the leader, which has most to do. A plain state machine.
class DeclarationSource
{
public:
  /// A control process told which declaration it has.
  void OnUpdate(const std::string& aControl,
                const DeclarationUpdate& aUpdate,
                TimePoint aNow);

  /// Whether the next question to a control process asks for the declaration,
  /// where `aHeld` is the number of the one that the entry has.
  bool ShouldRequestFrom(const std::string& aControl,
                         std::uint64_t aHeld,
                         TimePoint aNow);

  /// The newest number that any control process told.
  std::uint64_t NewestNumber() const { return newestNumber_; }

private:
  std::map<std::string, DeclarationUpdate> updates_;
  std::uint64_t newestNumber_ = 0;
  TimePoint newestSince_;
  /// The number that was asked for last.
  std::uint64_t requestedNumber_ = 0;
  TimePoint requestedAt_;
};

} // namespace tanagerstall

#endif
