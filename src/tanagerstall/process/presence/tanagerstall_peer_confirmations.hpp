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
/// one. A deterministic state machine that reads no clock.
class PeerConfirmations
{
public:
  /// Gets true once a majority has the change, false if that takes too long.
  using Done = std::function<void(bool)>;

  /// Sets the number of members of the cluster, with this one; 0 if it is not
  /// known yet.
  void SetMembers(std::size_t aCount);
  /// Records that another control process has all changes up to `aStamp` of
  /// this run; 0 if it has none.
  void Record(const std::string& aPeer, std::uint64_t aStamp);
  /// Calls `aDone` as soon as a majority has all changes up to `aStamp`, at
  /// once if it has them already.
  void Await(std::uint64_t aStamp, TimePoint aUntil, Done aDone);
  /// Ends the waits that take too long.
  void Tick(TimePoint aNow);

private:
  struct Wait
  {
    std::uint64_t stamp_ = 0;
    TimePoint until_;
    Done done_;
  };

  bool HasMajority(std::uint64_t aStamp) const;
  void EndConfirmed();

  std::size_t members_ = 0;
  /// The stamp that each of the other processes has reported last.
  std::map<std::string, std::uint64_t> confirmed_;
  std::list<Wait> waits_;
};

} // namespace tanagerstall

#endif
