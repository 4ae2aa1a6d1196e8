#ifndef TANAGERSTALL_RAFT_IDENTITY_HPP_INCLUDED
#define TANAGERSTALL_RAFT_IDENTITY_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_log_disk.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_types.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

namespace tanagerstall {

/// The identity stored in a data folder. A member whose folder was lost gets a
/// new key, so that it can't vote as the old one.
struct MemberIdentity
{
  /// The cluster's name; empty until the member has joined one.
  std::string cluster_;
  Member member_;
};

/// Returns an identity with a random key and no cluster.
MemberIdentity
MakeIdentity(const std::string& aName);

/// Returns the key of a founder, which the others derive from its address. Only
/// for a cluster's first start: after a lost folder the key is random.
MemberKey
FounderKey(const Address& aMemberAddress);

/// Returns a random name for a new cluster.
std::string
MakeClusterName();

/// Reads the file "identity"; returns nothing if it doesn't exist. Throws
/// DiskError if it is corrupt or of an unknown version.
std::optional<MemberIdentity>
ReadIdentity(const LogDisk& aDisk);

/// Writes the file "identity" atomically and durably.
void
WriteIdentity(const LogDisk& aDisk, const MemberIdentity& aIdentity);

} // namespace tanagerstall

#endif
