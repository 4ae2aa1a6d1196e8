#ifndef TANAGERSTALL_FLEET_STATE_HPP_INCLUDED
#define TANAGERSTALL_FLEET_STATE_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_state_machine.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace tanagerstall {

using CountsByName = std::map<std::string, std::uint64_t>;

/// Requests that began to run, by organisation, of one window of the wall
/// clock.
struct UsageWindow
{
  std::int64_t window_ = 0;
  CountsByName counts_;
};

/// A declaration as the operator sent it, with the number it is known by.
struct Declaration
{
  std::uint64_t number_ = 0;
  std::string document_;
};

/// The fleet's replicated state: the declaration with the highest number, and
/// the usage that has been agreed on but may still have to be reported.
class FleetState
{
public:
  using ChangeHook = std::function<void()>;

  explicit FleetState(ChangeHook aOnDeclaration = nullptr);

  /// The view of this state that a replicated group drives.
  StateMachine AsStateMachine();

  const Declaration& Current() const { return current_; }
  /// The counts agreed on for a window; nothing where there are none.
  std::optional<CountsByName> AgreedUsage(std::int64_t aWindow) const;

  static Bytes EncodeDeclare(const Declaration& aDeclaration);
  static Bytes EncodeUsage(const UsageWindow& aUsage);
  /// The result of a query: the declaration.
  static Declaration DecodeDeclaration(BytesView aBytes);
  /// The result of a usage command: the counts that are agreed on.
  static UsageWindow DecodeUsage(BytesView aBytes);

private:
  Bytes Apply(BytesView aCommand);
  Bytes TakeSnapshot() const;
  void InstallSnapshot(BytesView aSnapshot);

  ChangeHook onDeclaration_;
  Declaration current_;
  std::map<std::int64_t, CountsByName> usage_;
};

} // namespace tanagerstall

#endif
