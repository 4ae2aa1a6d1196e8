#ifndef TANAGERSTALL_FLEET_STATE_HPP_INCLUDED
#define TANAGERSTALL_FLEET_STATE_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_state_machine.hpp"
#include "tanagerstall/version/tanagerstall_document_encoding.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace tanagerstall {

using CountsByName = std::map<std::string, std::uint64_t>;

/// The number of requests that started to run in one wall-clock window, by
/// organisation.
struct UsageWindow
{
  /// The index of the window since the epoch.
  std::int64_t window_ = 0;
  CountsByName counts_;
};

/// A declaration as the operator sent it, with its number.
struct Declaration
{
  std::uint64_t number_ = 0;
  std::string document_;
};

/// The fleet's replicated state: the declaration with the highest number, and
/// the agreed usage of recent windows, which may still have to be reported.
class FleetState
{
public:
  using ChangeHook = std::function<void()>;

  /// `aOnDeclaration` is called when a newer declaration is applied and after a
  /// snapshot is installed.
  explicit FleetState(ChangeHook aOnDeclaration = nullptr);

  /// Returns the state machine of this state for a Raft group.
  StateMachine AsStateMachine();

  const Declaration& Current() const { return current_; }
  /// Returns the agreed counts of a window, or nullopt if there are none.
  std::optional<CountsByName> AgreedUsage(std::int64_t aWindow) const;

  /// Members of builds that don't know an encoding can't apply the command.
  static Bytes EncodeDeclare(
    const Declaration& aDeclaration,
    DocumentEncoding aEncoding = DocumentEncoding::Compressed);
  static Bytes EncodeUsage(const UsageWindow& aUsage);
  /// Decodes the result of a query.
  static Declaration DecodeDeclaration(BytesView aBytes);
  /// Decodes the result of a usage command: the agreed counts of the window.
  static UsageWindow DecodeUsage(BytesView aBytes);

private:
  Bytes Apply(BytesView aCommand);
  void ApplyDeclare(std::uint64_t aNumber,
                    DocumentEncoding aEncoding,
                    BytesView aPayload);
  Bytes TakeSnapshot() const;
  void InstallSnapshot(BytesView aSnapshot);

  ChangeHook onDeclaration_;
  Declaration current_;
  std::map<std::int64_t, CountsByName> usage_;
};

} // namespace tanagerstall

#endif
