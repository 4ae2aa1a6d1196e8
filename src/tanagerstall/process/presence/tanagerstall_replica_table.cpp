#include "tanagerstall/process/presence/tanagerstall_replica_table.hpp"

#include "tanagerstall/process/presence/tanagerstall_replica_order.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// How long departed and expired replicas are kept. An announcement that a
/// network partition delayed has arrived by then and is still rejected.
constexpr Duration kReplicaRetention = std::chrono::seconds(120);

/// Whether the replica is expected to go on announcing itself.
bool
IsPresent(const Replica& aReplica)
{
  return aReplica.state_ != ReplicaState::Departed && !aReplica.hasExpired_;
}

} // namespace

ReplicaTable::ReplicaTable(Duration aTimeToLive)
  : timeToLive_(aTimeToLive)
{
}

bool
ReplicaTable::ClaimAddress(const Replica& aReplica, TimePoint aNow)
{
  auto holder = byAddress_.find(aReplica.address_);
  if (holder == byAddress_.end() || holder->second == aReplica.id_) {
    return true;
  }
  auto it = replicas_.find(holder->second);
  if (it == replicas_.end() ||
      it->second.replica_.address_ != aReplica.address_) {
    return true;
  }
  // A delayed announcement can arrive after its sender has departed and
  // another replica has started at the same address.
  KnownReplica& other = it->second;
  if (IsPresent(other.replica_) &&
      other.replica_.startTimeMs_ > aReplica.startTimeMs_) {
    return false;
  }
  if (other.replica_.state_ != ReplicaState::Departed) {
    MarkDeparted(other, aNow);
  }
  return true;
}

void
ReplicaTable::MarkDeparted(KnownReplica& aKnown, TimePoint aNow)
{
  aKnown.replica_.state_ = ReplicaState::Departed;
  aKnown.receivedAt_ = aNow;
  aKnown.stamp_ = ++stamp_;
}

void
ReplicaTable::Replace(KnownReplica& aKnown, const Replica& aReplica)
{
  bool wasDraining = aKnown.replica_.state_ == ReplicaState::Draining &&
                     aKnown.replica_.startTimeMs_ == aReplica.startTimeMs_;
  if (!wasDraining) {
    aKnown.drainSequence_ = aReplica.sequence_;
  }
  aKnown.replica_ = aReplica;
}

bool
ReplicaTable::Announce(const Replica& aReplica, TimePoint aNow)
{
  auto it = replicas_.find(aReplica.id_);
  if (it != replicas_.end() && !Supersedes(aReplica, it->second.replica_)) {
    return false;
  }
  if (!ClaimAddress(aReplica, aNow)) {
    return false;
  }
  KnownReplica& known = replicas_[aReplica.id_];
  bool isRenewal =
    known.stamp_ != 0 && IsEqualForEntries(known.replica_, aReplica);
  Replace(known, aReplica);
  known.receivedAt_ = aNow;
  if (!isRenewal) {
    known.stamp_ = ++stamp_;
  }
  byAddress_[aReplica.address_] = aReplica.id_;
  return true;
}

void
ReplicaTable::Leave(const std::string& aId,
                    std::uint64_t aStartTimeMs,
                    TimePoint aNow)
{
  KnownReplica& known = replicas_[aId];
  if (aStartTimeMs < known.replica_.startTimeMs_) {
    return;
  }
  known.replica_.id_ = aId;
  known.replica_.startTimeMs_ = aStartTimeMs;
  MarkDeparted(known, aNow);
}

std::optional<std::uint64_t>
ReplicaTable::NewestRun(const std::string& aId) const
{
  auto it = replicas_.find(aId);
  if (it == replicas_.end() || it->second.replica_.hasExpired_) {
    return std::nullopt;
  }
  return it->second.replica_.startTimeMs_;
}

std::optional<Replica>
ReplicaTable::LeaveOf(const std::string& aId) const
{
  auto it = replicas_.find(aId);
  if (it == replicas_.end() ||
      it->second.replica_.state_ == ReplicaState::Ready) {
    return std::nullopt;
  }
  Replica leave = it->second.replica_;
  leave.sequence_ = it->second.drainSequence_;
  return leave;
}

std::uint64_t
ReplicaTable::StampOf(const std::string& aId) const
{
  auto it = replicas_.find(aId);
  return it == replicas_.end() ? 0 : it->second.stamp_;
}

void
ReplicaTable::AdoptReport(const Replica& aReplica, TimePoint aNow)
{
  if (aReplica.state_ == ReplicaState::Ready) {
    return;
  }
  auto it = replicas_.find(aReplica.id_);
  if (it != replicas_.end() && !Supersedes(aReplica, it->second.replica_)) {
    return;
  }
  KnownReplica& known = replicas_[aReplica.id_];
  Replace(known, aReplica);
  // The replica has announced itself elsewhere, not here.
  known.replica_.hasExpired_ = true;
  known.receivedAt_ = aNow;
  // Entries get it from here too: the process that heard it may be lost before
  // it has told them.
  known.stamp_ = ++stamp_;
}

std::vector<std::string>
ReplicaTable::Tick(TimePoint aNow)
{
  std::vector<std::string> expired;
  for (auto it = replicas_.begin(); it != replicas_.end();) {
    KnownReplica& known = it->second;
    bool isPresent = IsPresent(known.replica_);
    Duration age = aNow - known.receivedAt_;
    if (isPresent && age > timeToLive_) {
      known.replica_.hasExpired_ = true;
      known.stamp_ = ++stamp_;
      expired.push_back(it->first);
    }
    if (!isPresent && age > kReplicaRetention) {
      it = replicas_.erase(it);
    } else {
      ++it;
    }
  }
  return expired;
}

std::vector<Replica>
ReplicaTable::ChangedAfter(std::uint64_t aStamp) const
{
  return ChangedBetween(aStamp, stamp_);
}

std::vector<Replica>
ReplicaTable::ChangedBetween(std::uint64_t aFrom, std::uint64_t aTo) const
{
  std::vector<Replica> changed;
  if (aFrom >= aTo) {
    return changed;
  }
  for (const auto& [id, known] : replicas_) {
    if (known.stamp_ > aFrom && known.stamp_ <= aTo) {
      changed.push_back(known.replica_);
    }
  }
  return changed;
}

std::vector<Replica>
ReplicaTable::Ready() const
{
  std::vector<Replica> ready;
  for (const auto& [id, known] : replicas_) {
    if (known.replica_.state_ == ReplicaState::Ready &&
        !known.replica_.hasExpired_) {
      ready.push_back(known.replica_);
    }
  }
  return ready;
}

} // namespace tanagerstall
