#include "tanagerstall/process/presence/tanagerstall_replica_table.hpp"

namespace tanagerstall {

namespace {

/// Long enough for an announcement that was delayed by a partition.
constexpr Duration kForgetAfter = std::chrono::seconds(120);

} // namespace

bool
IsNewer(const Replica& aLeft, const Replica& aRight)
{
  return aLeft.bornMs_ != aRight.bornMs_ ? aLeft.bornMs_ > aRight.bornMs_
                                         : aLeft.sequence_ > aRight.sequence_;
}

ReplicaTable::ReplicaTable(Duration aSilentAfter)
  : silentAfter_(aSilentAfter)
{
}

bool
ReplicaTable::YieldsAddress(const Replica& aReplica, TimePoint aNow)
{
  auto holder = byAddress_.find(aReplica.address_);
  if (holder == byAddress_.end() || holder->second == aReplica.id_) {
    return true;
  }
  auto it = known_.find(holder->second);
  if (it == known_.end() || it->second.replica_.address_ != aReplica.address_) {
    return true;
  }
  // An announcement can be delayed until its sender has gone and another
  // replica has its address.
  Known& other = it->second;
  bool isHeld = other.replica_.standing_ == ReplicaStanding::Ready ||
                other.replica_.standing_ == ReplicaStanding::Draining;
  if (isHeld && other.replica_.bornMs_ > aReplica.bornMs_) {
    return false;
  }
  if (other.replica_.standing_ != ReplicaStanding::Gone) {
    other.heardAt_ = aNow;
    SetStanding(other, ReplicaStanding::Gone);
  }
  return true;
}

void
ReplicaTable::SetStanding(Known& aKnown, ReplicaStanding aStanding)
{
  aKnown.replica_.standing_ = aStanding;
  aKnown.stamp_ = ++stamp_;
}

bool
ReplicaTable::Announce(const Replica& aReplica, TimePoint aNow)
{
  auto it = known_.find(aReplica.id_);
  if (it != known_.end()) {
    const Replica& known = it->second.replica_;
    bool isSameRun = known.bornMs_ == aReplica.bornMs_;
    if (!IsNewer(aReplica, known) ||
        (isSameRun && known.standing_ == ReplicaStanding::Gone)) {
      return false;
    }
  }
  if (!YieldsAddress(aReplica, aNow)) {
    return false;
  }
  Known& known = known_[aReplica.id_];
  Replica last = known.replica_;
  last.sequence_ = aReplica.sequence_;
  bool isRenewal = known.stamp_ != 0 && last == aReplica;
  known.replica_ = aReplica;
  known.heardAt_ = aNow;
  if (!isRenewal) {
    known.stamp_ = ++stamp_;
  }
  byAddress_[aReplica.address_] = aReplica.id_;
  return true;
}

void
ReplicaTable::Leave(const std::string& aId,
                    std::uint64_t aBornMs,
                    TimePoint aNow)
{
  Known& known = known_[aId];
  if (known.stamp_ == 0) {
    known.replica_.id_ = aId;
    known.replica_.bornMs_ = aBornMs;
  }
  if (aBornMs != 0 && aBornMs < known.replica_.bornMs_) {
    return;
  }
  known.heardAt_ = aNow;
  // Above what the last announcement said, so that it goes before it at
  // whoever merges what several control processes know.
  ++known.replica_.sequence_;
  SetStanding(known, ReplicaStanding::Gone);
}

void
ReplicaTable::Tick(TimePoint aNow)
{
  for (auto it = known_.begin(); it != known_.end();) {
    Known& known = it->second;
    bool isPresent = known.replica_.standing_ == ReplicaStanding::Ready ||
                     known.replica_.standing_ == ReplicaStanding::Draining;
    Duration age = aNow - known.heardAt_;
    if (isPresent && age > silentAfter_) {
      SetStanding(known, ReplicaStanding::Silent);
    }
    if (!isPresent && age > kForgetAfter) {
      it = known_.erase(it);
    } else {
      ++it;
    }
  }
}

std::vector<Replica>
ReplicaTable::ChangedAfter(std::uint64_t aStamp) const
{
  std::vector<Replica> changed;
  for (const auto& [id, known] : known_) {
    if (known.stamp_ > aStamp) {
      changed.push_back(known.replica_);
    }
  }
  return changed;
}

std::vector<Replica>
ReplicaTable::Ready() const
{
  std::vector<Replica> ready;
  for (const auto& [id, known] : known_) {
    if (known.replica_.standing_ == ReplicaStanding::Ready) {
      ready.push_back(known.replica_);
    }
  }
  return ready;
}

} // namespace tanagerstall
