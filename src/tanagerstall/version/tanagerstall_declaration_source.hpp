#ifndef TANAGERSTALL_DECLARATION_SOURCE_HPP_INCLUDED
#define TANAGERSTALL_DECLARATION_SOURCE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace tanagerstall {

/// What an entry hears from a control process about the declaration.
struct DeclarationNews
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
  void Hear(const std::string& aControl,
            const DeclarationNews& aNews,
            TimePoint aNow);

  /// Whether the next question to a control process asks for the declaration,
  /// where `aHeld` is the number of the one that the entry has.
  bool AsksFrom(const std::string& aControl,
                std::uint64_t aHeld,
                TimePoint aNow);

  /// The newest number that any control process told.
  std::uint64_t Newest() const { return newest_; }

private:
  std::map<std::string, DeclarationNews> news_;
  std::uint64_t newest_ = 0;
  TimePoint newestSince_;
  /// The number that was asked for last.
  std::uint64_t asked_ = 0;
  TimePoint askedAt_;
};

} // namespace tanagerstall

#endif
