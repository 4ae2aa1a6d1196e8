#include "tanagerstall/request/tanagerstall_rollout_counter.hpp"

#include <algorithm>

namespace tanagerstall {

std::size_t
RolloutBucketOf(Duration aTime)
{
  double bound = 1.0;
  std::size_t bucket = 0;
  while (bucket + 1 < kRolloutBuckets && InMilliseconds(aTime) > bound) {
    bound *= 2.0;
    ++bucket;
  }
  return bucket;
}

RolloutCounts&
RolloutCounter::CountsOf(Counted& aCounted,
                         const std::string& aVersion,
                         const std::string& aRoute)
{
  const RolloutOrder& order = aCounted.rollout_.order_;
  bool isNew = aVersion == order.version_;
  auto [it, isAdded] = aCounted.counts_.try_emplace({ isNew, aRoute });
  if (isAdded) {
    it->second.service_ = order.service_;
    it->second.id_ = aCounted.rollout_.id_;
    it->second.isNewVersion_ = isNew;
    it->second.route_ = aRoute;
  }
  return it->second;
}

void
RolloutCounter::Begin(const Rollout& aRollout)
{
  const std::string& service = aRollout.order_.service_;
  auto it = counted_.find(service);
  if (it != counted_.end() && it->second.rollout_.id_ == aRollout.id_) {
    return;
  }
  Counted& counted = counted_[service];
  counted = { aRollout, {} };
  for (const auto& [key, count] : running_[service]) {
    CountsOf(counted, key.first, key.second).sent_ += count;
  }
}

void
RolloutCounter::End(const std::string& aService)
{
  counted_.erase(aService);
}

RolloutCounter::Sent
RolloutCounter::OnSent(const Replica& aReplica,
                       const std::string& aRoute,
                       TimePoint aNow)
{
  ++running_[aReplica.service_][{ aReplica.version_, aRoute }];
  Sent sent{ aReplica.service_, aReplica.version_, aRoute, aNow };
  if (auto* counts = Find(sent)) {
    ++counts->sent_;
  }
  return sent;
}

RolloutCounts*
RolloutCounter::Find(const Sent& aSent)
{
  auto it = counted_.find(aSent.service_);
  return it == counted_.end()
           ? nullptr
           : &CountsOf(it->second, aSent.version_, aSent.route_);
}

void
RolloutCounter::OnFirstPart(Sent& aSent, TimePoint aNow)
{
  if (std::exchange(aSent.hasFirstPart_, true)) {
    return;
  }
  if (auto* counts = Find(aSent)) {
    ++counts->firstParts_[RolloutBucketOf(aNow - aSent.sentAt_)];
  }
}

void
RolloutCounter::OnEnd(Sent& aSent, SentOutcome aOutcome, TimePoint aNow)
{
  Running& running = running_[aSent.service_];
  auto it = running.find({ aSent.version_, aSent.route_ });
  if (it != running.end() && --it->second == 0) {
    running.erase(it);
  }
  if (aOutcome == SentOutcome::Answered) {
    OnFirstPart(aSent, aNow);
  }
  if (auto* counts = Find(aSent)) {
    ++counts->ended_;
    counts->failed_ += aOutcome == SentOutcome::Failed ? 1 : 0;
  }
}

std::vector<RolloutCounts>
RolloutCounter::Report() const
{
  std::vector<RolloutCounts> report;
  for (const auto& [service, counted] : counted_) {
    for (const auto& [key, counts] : counted.counts_) {
      report.push_back(counts);
    }
  }
  return report;
}

std::map<std::pair<std::string, std::string>, std::uint64_t>
RolloutCounter::SentByVersion() const
{
  std::map<std::pair<std::string, std::string>, std::uint64_t> sent;
  for (const auto& [service, counted] : counted_) {
    for (const auto& [key, counts] : counted.counts_) {
      const std::string& version = counted.rollout_.order_.version_;
      sent[{ service, key.first ? version : "other" }] += counts.sent_;
    }
  }
  return sent;
}

} // namespace tanagerstall
