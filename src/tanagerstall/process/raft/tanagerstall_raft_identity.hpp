#ifndef TANAGERSTALL_RAFT_IDENTITY_HPP_INCLUDED
#define TANAGERSTALL_RAFT_IDENTITY_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_log_disk.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_types.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

namespace tanagerstall {

/// Who a data folder is. A folder that was lost comes back as somebody else.
struct MemberIdentity
{
  /// Empty until the member has been added to a cluster.
  std::string cluster_;
  Member member_;
};

/// A random identity without a cluster.
MemberIdentity
MakeIdentity(const std::string& aName);

/// The key of a first voter, which all others know from its address. Only for
/// the first start of a cluster: a folder that was lost gets a random key.
MemberKey
FounderKey(const Address& aMemberAddress);

/// A random name for a new cluster.
std::string
MakeClusterName();

/// Reads "identity"; nothing where there is none.
/// Throws DiskError where it is damaged or of an unknown version.
std::optional<MemberIdentity>
ReadIdentity(const LogDisk& aDisk);

/// Writes "identity" durably.
void
WriteIdentity(const LogDisk& aDisk, const MemberIdentity& aIdentity);

} // namespace tanagerstall

#endif
