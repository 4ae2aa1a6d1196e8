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

/// The groups' names, which are also the base names of their files.
constexpr std::array<const char*, 2> kGroupNames{ "configuration", "ledger" };

struct MemberSettings
{
  std::string name_;
  std::filesystem::path dataFolder_;
  /// The address that other members connect to. Port 0 means the port of the
  /// previous start or, without one, a port that the system chooses.
  Address memberAddress_;
  /// Whether to start a new cluster. Without founders, this is an error in a
  /// folder that holds data; with founders, a member with an identity restarts.
  bool isBootstrap_ = false;
  /// The member addresses of a new cluster's first voters. All of them start
  /// with the same list and derive the same membership from it without a
  /// message; empty for a cluster that starts with one member.
  std::vector<Address> founders_;
  /// Member addresses that a member without a cluster sends its request to join
  /// to; empty if an operator adds it.
  std::vector<Address> contacts_;
  /// Timeouts and size limits of the replicated log.
  RaftSettings raft_;
  VoterTarget voters_;
};

/// A member's open data folder and its identity.
struct MemberFolder
{
  LogDisk disk_;
  MemberIdentity identity_;
  /// Whether the folder held no identity file.
  bool isFresh_ = false;
  /// Whether this start creates the cluster.
  bool isBootstrap_ = false;
};

/// Opens the data folder and reads the member's identity, or makes one. Throws
/// DiskError if the folder can't be used or some of its files are missing.
MemberFolder
OpenMemberFolder(const MemberSettings& aSettings);

/// Returns the first membership of a cluster that this member creates.
Membership
FirstMembers(const MemberSettings& aSettings, const MemberIdentity& aIdentity);

/// Returns the name of a cluster that this member creates. All founders get the
/// same name.
std::string
NewClusterName(const MemberSettings& aSettings);

} // namespace tanagerstall

#endif
