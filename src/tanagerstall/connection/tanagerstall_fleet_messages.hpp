#ifndef TANAGERSTALL_FLEET_MESSAGES_HPP_INCLUDED
#define TANAGERSTALL_FLEET_MESSAGES_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_entry_directory.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"
#include "tanagerstall/request/tanagerstall_cost_limits.hpp"
#include "tanagerstall/request/tanagerstall_named_rate.hpp"
#include "tanagerstall/request/tanagerstall_prompt_evidence.hpp"
#include "tanagerstall/version/tanagerstall_declaration_transfer.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagerstall {

/// The load of one service at one entry. `arrivals_` and `refused_` count since
/// the entry started.
struct ServiceLoad
{
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint64_t arrivals_ = 0;
  std::uint64_t refused_ = 0;
};

/// An entry's request to a control process.
struct EntryReport
{
  /// When the report was made, by the entry's clock; not transmitted.
  TimePoint madeAt_;
  /// `revision_` is the number of the declaration in force at the entry;
  /// `weight_` is 0 while callers must not be routed to it.
  EntryInfo entry_;
  /// The run of this control process, and the position in its changes, up to
  /// which the entry knows its replicas.
  std::uint64_t controlRun_ = 0;
  std::uint64_t stamp_ = 0;
  /// How long the control process may delay its answer until a change occurs.
  std::chrono::milliseconds wait_{ 0 };
  /// Whether the usage, loads and rates of requests are left out.
  bool isBrief_ = false;
  std::vector<UsageWindow> usage_;
  /// Whether the sender takes the receiver for the leader.
  bool isToLeader_ = false;
  /// Requested shares of the organisations' cost limits; sent to the leader
  /// only.
  CostGrantRequests grantRequests_;
  std::map<std::string, ServiceLoad> services_;
  /// Requests per second from callers; refused ones count for a part.
  double requestRate_ = 0.0;
  /// The number of the newest declaration that the entry knows to exist.
  std::uint64_t newestDeclaration_ = 0;
  /// Whether the answer should include the declaration, if it is newer than
  /// the entry's.
  bool wantsDeclaration_ = false;
  TransferCapability canRestore_;
  /// Sent to the leader only.
  std::optional<PromptEvidence> promptEvidence_;
  /// The revision of this control process's verdicts that the entry has.
  std::uint64_t promptRevision_ = 0;
  /// The rate limits that replicas have named; sent to the leader only, now and
  /// then and after news.
  NamedRates namedRates_;
  /// The revision of this control process's rate limits that the entry has.
  std::uint64_t rateRevision_ = 0;
};

/// The answer of a control process.
struct ControlAnswer
{
  /// When the report that it answers was made, by the entry's clock; not
  /// transmitted.
  TimePoint reportedAt_;
  ReplicaReport replicas_;
  /// The control process's region.
  std::string region_;
  /// The number of the control process's current declaration.
  std::uint64_t planNumber_ = 0;
  /// Set if the entry requested the declaration and has an older one.
  std::optional<DeclarationTransfer> declaration_;
  /// Addresses at which entries reach the members of the cluster.
  std::vector<std::string> members_;
  /// The number by which the entry divides what all entries share.
  std::uint32_t shareDivisor_ = 0;
  /// Whether the directory sends callers to other entries. The entry serves
  /// those that come to it all the same.
  bool isStandby_ = false;
  /// Cost granted for the entry's grant requests, by organisation.
  CostByName grants_;
  /// Whether requests may be admitted before their cost is granted, but for
  /// those of nearly exhausted organisations.
  bool allowsAdvance_ = false;
  std::set<std::string> nearlyExhausted_;
  bool isLeader_ = false;
  /// Whether the control process applies compressed declarations.
  bool readsCompressed_ = false;
  /// The leader's verdicts, if the entry doesn't have them.
  std::optional<PromptVerdicts> promptVerdicts_;
  /// The rate limits of replicas that the leader knows, if the entry doesn't
  /// have this revision of them.
  std::optional<NamedRates> namedRates_;
  std::uint64_t rateRevision_ = 0;
};

} // namespace tanagerstall

#endif
