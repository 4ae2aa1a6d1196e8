#ifndef TANAGERSTALL_RAFT_FAULTS_HPP_INCLUDED
#define TANAGERSTALL_RAFT_FAULTS_HPP_INCLUDED

#include "tanagerstall_raft_simulation.hpp"

#include <ostream>

namespace tanagerstall {

enum class Fault
{
  Kill,
  Freeze,
  BlockBoth,
  BlockIncoming,
  BlockOutgoing,
  Loss,
  Duplication,
  Reordering,
  DiskLoss,
  TornWrite,
  FailedSync,
  /// Ends the process only: what was written stays, synced or not.
  ProcessKill,
  PowerLossOfAll,
  /// Freezes the member, whose clock does not count that time.
  Suspend,
  /// Lets the member run for a quarter of the time.
  Slow,
  FullDisk,
  /// Delays messages by up to seconds and loses some.
  LongDelay,
  /// Replaces the member by a new one, which the operator wants instead.
  Replace
};

inline std::ostream&
operator<<(std::ostream& aOut, Fault aFault)
{
  constexpr const char* kNames[] = { "kill",
                                     "freeze",
                                     "no messages",
                                     "no incoming messages",
                                     "no outgoing messages",
                                     "message loss",
                                     "message duplication",
                                     "message reordering",
                                     "disk loss",
                                     "torn write",
                                     "failed sync",
                                     "process kill",
                                     "power loss of all",
                                     "suspension",
                                     "slow member",
                                     "full disk",
                                     "long delay",
                                     "replacement" };
  return aOut << kNames[static_cast<int>(aFault)];
}

/// Injects faults into members and ends them later.
class FaultInjector
{
public:
  explicit FaultInjector(Simulation& aSim)
    : sim_(aSim)
  {
  }

  /// Injects a fault into the member whose call is running; a crash unwinds
  /// that call.
  void InjectInCall(SimulatedMember& aMember, Fault aFault)
  {
    if (auto crash = CrashOf(aFault)) {
      lostDisks_.insert(crash->isDiskLost_ ? aMember.key_ : 0);
      throw *crash;
    }
    Inject(aMember, aFault);
  }

  void Inject(SimulatedMember& aMember, Fault aFault)
  {
    MemberKey key = aMember.key_;
    if (auto crash = CrashOf(aFault)) {
      lostDisks_.insert(crash->isDiskLost_ ? key : 0);
      sim_.Kill(key, *crash);
      return;
    }
    LinkFaults& link = sim_.faults_[key];
    switch (aFault) {
      case Fault::Freeze:
        aMember.isFrozen_ = true;
        break;
      case Fault::BlockBoth:
      case Fault::BlockIncoming:
      case Fault::BlockOutgoing:
        sim_.BlockLinks(
          key, aFault != Fault::BlockOutgoing, aFault != Fault::BlockIncoming);
        break;
      case Fault::Loss:
        link.lostPercent_ = 30;
        break;
      case Fault::Duplication:
        link.duplicatedPercent_ = 60;
        break;
      case Fault::Reordering:
        link.extraDelay_ = milliseconds(400);
        break;
      case Fault::LongDelay:
        link = { 20, 0, std::chrono::seconds(3) };
        break;
      case Fault::FailedSync:
        aMember.disk_.failsSyncs_ = true;
        break;
      default:
        InjectIntoMachine(aMember, aFault);
        break;
    }
  }

  /// Ends every fault and restarts crashed members. A member that lost its disk
  /// is replaced by one with a new key.
  void ClearFaults()
  {
    sim_.blockedLinks_.clear();
    sim_.faults_.clear();
    std::vector<MemberKey> keys;
    for (const auto& [key, member] : sim_.members_) {
      keys.push_back(key);
    }
    for (MemberKey key : keys) {
      SimulatedMember& member = sim_.members_[key];
      member.disk_.failsSyncs_ = false;
      member.disk_.isFull_ = false;
      member.isSlow_ = false;
      if (member.isFrozen_) {
        sim_.Resume(key);
      }
      if (member.group_) {
        continue;
      }
      if (!lostDisks_.contains(key)) {
        sim_.Start(key);
      } else {
        Replace(key);
      }
    }
  }

  std::size_t LostDiskCount() const
  {
    return lostDisks_.size() - lostDisks_.count(0);
  }

private:
  void InjectIntoMachine(SimulatedMember& aMember, Fault aFault)
  {
    switch (aFault) {
      case Fault::ProcessKill:
        sim_.KillProcess(aMember.key_);
        break;
      case Fault::PowerLossOfAll:
        for (auto& [key, member] : sim_.members_) {
          sim_.Kill(key, { true, false });
        }
        break;
      case Fault::Suspend:
        sim_.Suspend(aMember.key_);
        break;
      case Fault::Slow:
        aMember.isSlow_ = true;
        break;
      case Fault::FullDisk:
        aMember.disk_.isFull_ = true;
        break;
      default:
        Replace(aMember.key_);
        break;
    }
  }

  void Replace(MemberKey aKey)
  {
    if (sim_.wanted_.erase(aKey) > 0) {
      sim_.wanted_.insert(aKey + 10);
      sim_.Start(aKey + 10);
    }
  }

  static std::optional<SimulatedCrash> CrashOf(Fault aFault)
  {
    switch (aFault) {
      case Fault::Kill:
        return SimulatedCrash{ false, false };
      case Fault::TornWrite:
        return SimulatedCrash{ true, false };
      case Fault::DiskLoss:
        return SimulatedCrash{ false, true };
      default:
        return std::nullopt;
    }
  }

  Simulation& sim_;
  std::set<MemberKey> lostDisks_;
};

inline RaftSettings
SmallSnapshots()
{
  RaftSettings settings;
  settings.snapshotEntries_ = 25;
  settings.keptEntries_ = 3;
  settings.snapshotChunkBytes_ = 64;
  return settings;
}

} // namespace tanagerstall

#endif
