#include "tanagerstall/process/tanagerstall_declaration_calls.hpp"

#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include <utility>

namespace tanagerstall {

namespace {

/// Fails unless the state that a reply describes has this declaration or one
/// with a higher number.
tl::expected<void, GroupError>
CheckHeld(std::uint64_t aNumber, const Bytes& aReply)
{
  if (NumberOf(FleetState::DecodeDeclaration(aReply)) >= aNumber) {
    return {};
  }
  return tl::make_unexpected(GroupError{
    GroupFault::Unavailable, "the control processes don't hold it" });
}

} // namespace

DeclarationCalls::DeclarationCalls(DeclarationHooks aHooks)
  : hooks_(std::move(aHooks))
{
}

tl::expected<void, GroupError>
DeclarationCalls::Declare(const Declaration& aDeclaration) const
{
  // A member of a build that passes over number 0 would lose it as the leader.
  if (aDeclaration.number_ == 0 && !hooks_.canAllApplyNumberZero_()) {
    return ConfirmHeld(aDeclaration.number_);
  }
  auto reply = hooks_.propose_(aDeclaration);
  if (!reply) {
    return tl::make_unexpected(reply.error());
  }
  // A leader of an earlier build doesn't say what it holds.
  return reply->empty() ? ConfirmHeld(aDeclaration.number_)
                        : CheckHeld(aDeclaration.number_, *reply);
}

tl::expected<std::optional<Declaration>, GroupError>
DeclarationCalls::Read() const
{
  return hooks_.query_(FleetState::EncodeQuery(FleetQuery::All))
    .map([](const Bytes& aIt) { return FleetState::DecodeDeclaration(aIt); });
}

tl::expected<void, GroupError>
DeclarationCalls::ConfirmHeld(std::uint64_t aNumber) const
{
  // Documents are large; this query returns the number without it.
  auto brief = hooks_.query_(FleetState::EncodeQuery(FleetQuery::Rollouts));
  if (!brief) {
    return tl::make_unexpected(brief.error());
  }
  return CheckHeld(aNumber, *brief);
}

} // namespace tanagerstall
