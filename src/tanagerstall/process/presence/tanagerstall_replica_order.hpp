#ifndef TANAGERSTALL_REPLICA_ORDER_HPP_INCLUDED
#define TANAGERSTALL_REPLICA_ORDER_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica.hpp"

namespace tanagerstall {

/// The order of all that is said of a replica, wherever and whenever it
/// arrives: its runs by start time; within a run, its departure is last, and
/// announcements follow their sequence numbers. Returns whether `aLeft`
/// replaces `aRight`. Both have the same id. Expiry is not part of the order:
/// it shows that nothing was heard, not what the replica said.
bool
Supersedes(const Replica& aLeft, const Replica& aRight);

/// Whether both differ at most in what entries don't use: the sequence number
/// and the remaining warm-up time, which change with each announcement.
bool
IsEqualForEntries(const Replica& aLeft, const Replica& aRight);

} // namespace tanagerstall

#endif
