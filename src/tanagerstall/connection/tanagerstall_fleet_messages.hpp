#ifndef TANAGERSTALL_FLEET_MESSAGES_HPP_INCLUDED
#define TANAGERSTALL_FLEET_MESSAGES_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_entry_directory.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"
#include "tanagerstall/request/tanagerstall_admission_sums.hpp"
#include "tanagerstall/request/tanagerstall_cost_limits.hpp"
#include "tanagerstall/request/tanagerstall_crash_report.hpp"
#include "tanagerstall/request/tanagerstall_named_rate.hpp"
#include "tanagerstall/request/tanagerstall_stream_origins.hpp"
#include "tanagerstall/version/tanagerstall_declaration_transfer.hpp"
#include "tanagerstall/version/tanagerstall_rollout.hpp"

#include <array>
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
  /// Those of `running_` whose responses are long.
  std::uint32_t longRunning_ = 0;
  /// Requests whose response began within the target latency of their route,
  /// and those whose response didn't, without and with long responses; counted
  /// since the entry started.
  std::uint64_t inTime_ = 0;
  std::uint64_t late_ = 0;
  std::uint64_t longInTime_ = 0;
  std::uint64_t longLate_ = 0;
};

/// The upper bounds of the buckets are 1 ms times powers of 2; the last bucket
/// has no bound.
constexpr std::size_t kRolloutBuckets = 16;

/// What one entry counted of one route of a service since a roll-out began, on
/// one side: at replicas of the new version, or at the others.
struct RolloutCounts
{
  std::string service_;
  /// The roll-out that the counts belong to.
  std::uint64_t id_ = 0;
  bool isNewVersion_ = false;
  std::string route_;
  /// Requests that were sent to a replica, and those that have ended.
  std::uint64_t sent_ = 0;
  std::uint64_t ended_ = 0;
  /// Requests that the replica failed: a server error, a broken response, or no
  /// first part before the deadline.
  std::uint64_t failed_ = 0;
  /// Times to the first part of the response.
  std::array<std::uint64_t, kRolloutBuckets> firstParts_{};

  bool operator==(const RolloutCounts&) const = default;
};

/// What an entry does with the requests of a service that has a roll-out.
struct RolloutDirective
{
  Rollout rollout_;
  /// The part of the requests that go to the new version, from 0 to 1, and the
  /// part of its replicas that get them. Valid in an answer of the leader only,
  /// and only while the roll-out is running.
  double requestShare_ = 0.0;
  double replicaShare_ = 0.0;

  bool operator==(const RolloutDirective&) const = default;
};

/// An entry's request to a control process.
struct EntryReport
{
  /// When the report was made, by the entry's clock; not transmitted.
  TimePoint madeAt_;
  /// `weight_` is 0 while callers must not be routed to the entry; `revision_`
  /// is not used.
  EntryInfo entry_;
  /// The number of the declaration in force at the entry.
  DeclarationNumber inForce_;
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
  DeclarationNumber newestDeclaration_;
  /// Whether the answer should include the declaration, if it is newer than
  /// the entry's.
  bool wantsDeclaration_ = false;
  TransferCapability canRestore_;
  /// Sent to the leader only.
  std::optional<CrashReport> crashReport_;
  /// The revision of this control process's verdicts that the entry has.
  std::uint64_t promptRevision_ = 0;
  /// The rate limits that replicas have named; sent to the leader only, now and
  /// then and after news.
  NamedRates namedRates_;
  /// The revision of this control process's rate limits that the entry has.
  std::uint64_t rateRevision_ = 0;
  /// Sent to the leader only, for services with a running roll-out.
  std::vector<RolloutCounts> rolloutCounts_;
  /// The revision of this control process's directives that the entry follows.
  std::uint64_t rolloutRevision_ = 0;
  /// Sent to the leader only.
  AdmissionSumsByService admission_;
  /// Whether the answer may contain compressed changes of replicas.
  bool readsPackedReplicas_ = false;
  /// The streams that began at the entry and that this control process has not
  /// confirmed, and the position that confirms them; sent to the leader only.
  StreamGroups streamStarts_;
  std::uint64_t streamPosition_ = 0;
  /// Streams that callers resume, without their versions; sent to the
  /// leader only.
  StreamGroups wantedStreams_;
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
  DeclarationNumber planNumber_;
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
  /// Whether it applies the commands of roll-outs.
  bool appliesRollouts_ = false;
  /// Whether it applies a declaration with number 0.
  bool appliesNumberZero_ = false;
  /// The leader's verdicts, if the entry doesn't have them.
  std::optional<CrashVerdicts> crashVerdicts_;
  /// The rate limits of replicas that the leader knows, if the entry doesn't
  /// have this revision of them.
  std::optional<NamedRates> namedRates_;
  std::uint64_t rateRevision_ = 0;
  /// The latest roll-out of each service, if the entry doesn't have this
  /// revision of them.
  std::optional<std::vector<RolloutDirective>> rollouts_;
  std::uint64_t rolloutRevision_ = 0;
  /// The number of long responses for which replicas are to be reserved, for
  /// services of which not the usual part is; sent by the leader only.
  std::map<std::string, std::uint32_t> longResponses_;
  /// The sums over all entries; sent by the leader only.
  AdmissionSumsByService admission_;
  /// The position of the streams in the report, all of which are known now.
  std::uint64_t streamPosition_ = 0;
  /// The wanted streams of which it is known what began them.
  StreamGroups foundStreams_;
};

} // namespace tanagerstall

#endif
