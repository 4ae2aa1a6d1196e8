#ifndef TANAGERSTALL_REPLICA_VIEW_HPP_INCLUDED
#define TANAGERSTALL_REPLICA_VIEW_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_replica.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tanagerstall {

/// The replicas that take new work, by service. Immutable once published.
using ReplicasByService =
  std::map<std::string, std::vector<Replica>, std::less<>>;

/// What one control process told an entry.
struct ReplicaReport
{
  /// The run of the control process; another one knows nothing of before.
  std::uint64_t run_ = 0;
  std::uint64_t stamp_ = 0;
  std::vector<Replica> changed_;
};

/// Merges what the control processes know of replicas. A replica announces
/// itself to one of them at a time, so each knows a part. A plain state
/// machine.
class ReplicaView
{
public:
  /// Takes in what the control process at `aControl` said.
  void ApplyReport(const std::string& aControl,
                   const ReplicaReport& aReport,
                   TimePoint aNow);
  /// The run and stamp to ask the next changes of a control process for.
  std::pair<std::uint64_t, std::uint64_t> Position(
    const std::string& aControl) const;

  /// The replicas that take new work now.
  std::shared_ptr<const ReplicasByService> Present(TimePoint aNow) const;
  /// Whether `Present` may differ from what it last was.
  bool ConsumeChange(TimePoint aNow);

private:
  struct Source
  {
    std::uint64_t run_ = 0;
    std::uint64_t stamp_ = 0;
    TimePoint receivedAt_;
    std::map<std::string, Replica> replicas_;
    /// What an earlier run said, used until the replicas have had the time to
    /// announce themselves again.
    std::map<std::string, Replica> previousRun_;
    TimePoint previousRunUntil_;
  };

  bool IsTrusted(const Source& aSource, TimePoint aNow, bool aHasFresh) const;

  std::map<std::string, Source> sources_;
  bool hasChanged_ = false;
  TimePoint checkAt_;
};

} // namespace tanagerstall

#endif
