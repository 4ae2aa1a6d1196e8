#ifndef TANAGERSTALL_REPLICA_VIEW_HPP_INCLUDED
#define TANAGERSTALL_REPLICA_VIEW_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_departure.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerstall {

/// The replicas that accept new work, by service. Immutable once published.
using ReplicasByService =
  std::map<std::string, std::vector<Replica>, std::less<>>;

class EncodedReplicas;

/// The replica changes that a control process sends to an entry.
struct ReplicaReport
{
  /// Identifies the run of the control process. Its table starts empty, so
  /// stamps of different runs are unrelated.
  std::uint64_t run_ = 0;
  /// The stamp up to which `changed_` is complete.
  std::uint64_t stamp_ = 0;
  std::vector<Replica> changed_;
  /// Sent instead of `changed_` if it is set; not read from messages.
  std::shared_ptr<const EncodedReplicas> encoded_{};
  /// Whether `encoded_` is sent compressed if that saves bytes.
  bool isPacked_ = false;
};

/// Merges the replica tables of all control processes at an entry. A replica
/// announces itself to one control process at a time, so each table is partial:
/// what it said last counts whoever reported it, and it is responsive while any
/// control process hears of that run. A deterministic state machine that reads
/// no clock.
class ReplicaView
{
public:
  /// Applies a report of the control process at the address `aControl`. Returns
  /// the replicas that take no new work from now on, by what they said.
  std::vector<Replica> ApplyReport(const std::string& aControl,
                                   const ReplicaReport& aReport,
                                   TimePoint aNow);
  /// Returns the run and stamp after which to request changes of a control
  /// process; zeros for one that has not reported yet.
  std::pair<std::uint64_t, std::uint64_t> Position(
    const std::string& aControl) const;

  /// The newest run of a replica that was reported, if one was.
  std::optional<ReportedRun> NewestRun(const std::string& aId,
                                       TimePoint aNow) const;
  /// Returns the replicas that accept new work at `aNow`.
  std::shared_ptr<const ReplicasByService> Present(TimePoint aNow) const;
  /// Returns whether each of these control processes has reported recently, so
  /// that Present() lacks no replica that announces itself to one of them.
  /// Returns false for none.
  bool HasRecentReports(const std::vector<std::string>& aControls,
                        TimePoint aNow) const;
  /// Whether Present() may have changed since the last call: after a report
  /// with changes, and otherwise at intervals, because sources become stale.
  /// Resets the flag.
  bool ConsumeChange(TimePoint aNow);

private:
  struct Source
  {
    std::uint64_t run_ = 0;
    std::uint64_t stamp_ = 0;
    TimePoint receivedAt_;
    std::map<std::string, Replica> replicas_;
    /// The replicas known to the previous run, used until they have had time
    /// to announce themselves to the new one.
    std::map<std::string, Replica> previousRun_;
    TimePoint previousRunUntil_;
  };

  /// Whether the source's reports are recent, or no source has recent ones.
  bool IsTrusted(const Source& aSource, TimePoint aNow, bool aHasFresh) const;
  /// The ids of the replicas whose newest run is heard at `aNow`.
  std::set<std::string_view> ResponsiveAt(TimePoint aNow) const;
  /// Adds the ids of the replicas among `aReported` whose newest run was heard.
  void AddResponsive(const std::map<std::string, Replica>& aReported,
                     std::set<std::string_view>& aTo) const;

  std::map<std::string, Source> sources_;
  /// What each replica said last, by its id. It outlasts the record at the
  /// control process that heard it.
  std::map<std::string, Replica> newest_;
  bool hasChanged_ = false;
  TimePoint checkAt_;
};

} // namespace tanagerstall

#endif
