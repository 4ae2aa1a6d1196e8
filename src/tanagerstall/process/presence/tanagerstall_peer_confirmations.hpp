#ifndef TANAGERSTALL_PEER_CONFIRMATIONS_HPP_INCLUDED
#define TANAGERSTALL_PEER_CONFIRMATIONS_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace tanagerstall {

/// Which changes of this control process's replica table the other control
/// processes have, and the calls that wait until a majority of the cluster has
/// one and it is recorded durably. A deterministic state machine that reads no
/// clock.
class PeerConfirmations
{
public:
  /// Whether the change is recorded so that it outlasts a kill of all
  /// processes.
  using IsRecorded = std::function<bool()>;
  /// Gets true once the change is recorded and a majority has it, false if that
  /// takes too long.
  using Done = std::function<void(bool)>;

  /// Sets the number of members of the cluster, with this one; 0 if it is not
  /// known yet.
  void SetMembers(std::size_t aCount);
  /// Records that another control process has all changes up to `aStamp` of
  /// this run; 0 if it has none.
  void Record(const std::string& aPeer, std::uint64_t aStamp);
  /// Calls `aDone` as soon as a majority has all changes up to `aStamp` and
  /// `aIsRecorded` holds, at once if that is so already.
  void Await(std::uint64_t aStamp,
             IsRecorded aIsRecorded,
             TimePoint aUntil,
             Done aDone);
  /// Ends the waits that are over, after something was recorded.
  void Update();
  /// Ends the waits that take too long.
  void Tick(TimePoint aNow);

private:
  struct Wait
  {
    std::uint64_t stamp_ = 0;
    IsRecorded isRecorded_;
    TimePoint until_;
    Done done_;
  };

  bool HasMajority(std::uint64_t aStamp) const;
  bool IsConfirmed(const Wait& aWait) const;
  /// Ends the waits for which `aIsOver` holds, with this result.
  void EndWaits(const std::function<bool(const Wait&)>& aIsOver, bool aResult);

  std::size_t members_ = 0;
  /// The stamp that each of the other processes has reported last.
  std::map<std::string, std::uint64_t> confirmed_;
  std::list<Wait> waits_;
};

} // namespace tanagerstall

#endif
