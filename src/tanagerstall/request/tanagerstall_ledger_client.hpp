#ifndef TANAGERSTALL_LEDGER_CLIENT_HPP_INCLUDED
#define TANAGERSTALL_LEDGER_CLIENT_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fiber.hpp"
#include "tanagerstall/process/raft/tanagerstall_state_machine.hpp"
#include "tanagerstall/request/tanagerstall_ledger_codec.hpp"

#include <functional>
#include <optional>
#include <tl/expected.hpp>
#include <vector>

namespace tanagerstall {

/// Sends commands and queries to the ledger group. Calls block the fiber of a
/// traffic thread until the reply arrives.
class LedgerClient
{
public:
  /// Sends an encoded command or query to the group; the callback receives
  /// the reply or an error.
  using CallHook = std::function<void(Bytes, GroupCallback)>;
  template<class Value>
  using Result = tl::expected<Value, GroupError>;

  LedgerClient(CallHook aPropose, CallHook aQuery);

  /// Commits a command, stamped with the current time. After an error the
  /// command may or may not have been applied, and may still be applied later.
  Result<LedgerResult> Propose(Fiber& aFiber, LedgerCommand aCommand) const;
  /// Returns the record with its bodies, or nullopt if the key is unknown.
  Result<std::optional<LedgerRecord>> Find(Fiber& aFiber,
                                           const LedgerLookup& aLookup) const;
  /// Returns the matching records without their bodies.
  Result<std::vector<LedgerRecord>> List(Fiber& aFiber,
                                         const LedgerFilter& aFilter) const;

private:
  Result<std::vector<LedgerRecord>> Query(Fiber& aFiber,
                                          const LedgerQuery& aQuery) const;

  CallHook propose_;
  CallHook query_;
};

} // namespace tanagerstall

#endif
