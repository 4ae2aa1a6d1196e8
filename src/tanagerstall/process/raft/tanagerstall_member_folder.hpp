#ifndef TANAGERSTALL_MEMBER_FOLDER_HPP_INCLUDED
#define TANAGERSTALL_MEMBER_FOLDER_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_log_disk.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_identity.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_types.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <array>
#include <filesystem>
#include <string>
#include <vector>

namespace tanagerstall {

/// The groups that a member may have, and their files' names.
constexpr std::array<const char*, 2> kGroupNames{ "configuration", "ledger" };

struct MemberSettings
{
  std::string name_;
  std::filesystem::path dataFolder_;
  /// Where other members reach this one; port 0 for the port it had before,
  /// or one that the system chooses.
  Address memberAddress_;
  /// Whether to start a new cluster; refused in a folder in use, unless
  /// founders are named.
  bool isBootstrap_ = false;
  /// The member addresses of a new cluster's first voters. All of them are
  /// started with the same list, so that they agree on who they are without a
  /// word; empty for a cluster that begins with one.
  std::vector<Address> founders_;
  /// Where a member that is in no cluster asks to be added; empty for one that
  /// waits for an operator.
  std::vector<Address> contacts_;
  /// Times and sizes of the log.
  RaftSettings raft_;
  /// Voters that the leader keeps by itself; 0 leaves that to an operator.
  std::size_t wantedVoters_ = 0;
};

/// A member's data folder, opened, and who the member is.
struct MemberFolder
{
  LogDisk disk_;
  MemberIdentity identity_;
  /// Whether the folder had no identity before.
  bool isFresh_ = false;
  /// Whether this start founds the cluster.
  bool isBootstrap_ = false;
};

/// Opens the folder and finds out who the member is. Throws DiskError where
/// the folder can't be used, or lost a part of its files.
MemberFolder
OpenMemberFolder(const MemberSettings& aSettings);

/// The members of a cluster that this member founds.
Membership
FirstMembers(const MemberSettings& aSettings, const MemberIdentity& aIdentity);

/// The name of a cluster that this member founds; alike at all founders.
std::string
NewClusterName(const MemberSettings& aSettings);

} // namespace tanagerstall

#endif
