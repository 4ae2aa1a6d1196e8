#ifndef TANAGERSTALL_FLEET_MESSAGES_HPP_INCLUDED
#define TANAGERSTALL_FLEET_MESSAGES_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_entry_directory.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"
#include "tanagerstall/request/tanagerstall_cost_limits.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerstall {

/// The load of one service at one entry, since its last report.
struct ServiceLoad
{
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint64_t arrivals_ = 0;
  std::uint64_t refused_ = 0;
};

/// What an entry tells a control process with every question.
struct EntryReport
{
  /// Its revision is the number of the declaration in force there; its weight
  /// is 0 while callers may not be sent to it.
  EntryInfo entry_;
  /// What it knows already of this control process.
  std::uint64_t controlRun_ = 0;
  std::uint64_t stamp_ = 0;
  /// How long the answer may wait for a change.
  std::chrono::milliseconds wait_{ 0 };
  std::vector<UsageWindow> usage_;
  /// What it asks of the organisations' limits; to the leader only.
  CostGrantRequests grantRequests_;
  std::map<std::string, ServiceLoad> services_;
  /// The newest declaration that it has heard of from anyone.
  std::uint64_t newestDeclaration_ = 0;
  /// Whether the answer is to carry the declaration, if it is newer.
  bool wantsDeclaration_ = false;
};

/// The answer of a control process.
struct ControlAnswer
{
  ReplicaReport replicas_;
  /// The region of the control process.
  std::string region_;
  std::uint64_t planNumber_ = 0;
  /// The declaration, where the entry asked for it and has an older one.
  std::optional<Declaration> declaration_;
  /// Where entries reach the members of the cluster.
  std::vector<std::string> members_;
  /// Entries that take requests.
  std::uint32_t entries_ = 0;
  /// What the entry gets of what it asked for.
  CostByName grants_;
  bool isLeader_ = false;
};

} // namespace tanagerstall

#endif
