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

/// Commands and queries to the ledger, from a fiber of a traffic thread.
class LedgerClient
{
public:
  /// Gives bytes to the group, which answers with the callback.
  using CallHook = std::function<void(Bytes, GroupCallback)>;
  template<class Value>
  using Result = tl::expected<Value, GroupError>;

  LedgerClient(CallHook aPropose, CallHook aQuery);

  /// Commits a command under the present time. After an error it may or may
  /// not be applied, also later.
  Result<LedgerResult> Propose(Fiber& aFiber, LedgerCommand aCommand) const;
  /// The record with its bodies; nothing where there is none.
  Result<std::optional<LedgerRecord>> Find(Fiber& aFiber,
                                           const LedgerLookup& aLookup) const;
  /// Records without bodies.
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
