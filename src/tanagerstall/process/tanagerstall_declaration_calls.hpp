#ifndef TANAGERSTALL_DECLARATION_CALLS_HPP_INCLUDED
#define TANAGERSTALL_DECLARATION_CALLS_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_state_machine.hpp"
#include "tanagerstall/version/tanagerstall_declaration.hpp"

#include <functional>
#include <optional>
#include <tl/expected.hpp>

namespace tanagerstall {

/// The functions of a control process that the calls on declarations use.
struct DeclarationHooks
{
  /// Commits a declaration and returns the leader's reply.
  std::function<GroupResult(const Declaration&)> propose_;
  std::function<GroupResult(const Bytes&)> query_;
  /// Whether all members are known to apply a declaration with number 0.
  std::function<bool()> canAllApplyNumberZero_;
};

/// Handles the operators' calls on declarations at one control process. What is
/// acknowledged is what the fleet's state holds, not what the log has taken.
class DeclarationCalls
{
public:
  explicit DeclarationCalls(DeclarationHooks aHooks);

  /// Commits a validated declaration. Fails unless the state holds this
  /// declaration or one with a higher number then; the call may be repeated.
  tl::expected<void, GroupError> Declare(const Declaration& aDeclaration) const;
  /// Returns the current declaration after a quorum confirmed that it is
  /// current, or nullopt if there is none.
  tl::expected<std::optional<Declaration>, GroupError> Read() const;

private:
  tl::expected<void, GroupError> ConfirmHeld(std::uint64_t aNumber) const;

  DeclarationHooks hooks_;
};

} // namespace tanagerstall

#endif
