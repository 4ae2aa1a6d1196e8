#include "tanagerstall/request/tanagerstall_stream_directory.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// A caller that resumes a stream sends a new request, whose timeout
/// begins anew.
constexpr int kTimeoutsOfStream = 2;
constexpr Duration kMinStreamTime = std::chrono::seconds(10);
/// Longer than the election of a leader.
constexpr Duration kMaxUnconfirmed = std::chrono::seconds(3);

} // namespace

Duration
LongestStreamTime(const TrafficPlan& aPlan)
{
  Duration longest = kMinStreamTime;
  for (const auto& route : aPlan.routes_) {
    if (route.kind_ == RequestKind::Stream && route.isResumable_) {
      longest = std::max<Duration>(longest, kTimeoutsOfStream * route.timeout_);
    }
  }
  return longest;
}

StreamDirectory::StreamDirectory(std::size_t aMaxStreams)
  : memory_(kMinStreamTime)
  , origins_(aMaxStreams)
{
}

void
StreamDirectory::SetPlan(const TrafficPlan& aPlan)
{
  memory_ = LongestStreamTime(aPlan);
}

void
StreamDirectory::SetReplicas(const ReplicasByService& aPresent, TimePoint aNow)
{
  versions_.Observe(aPresent, aNow);
}

void
StreamDirectory::Record(StreamKey aStream,
                        const StreamOrigin& aOrigin,
                        TimePoint aNow)
{
  origins_.Record(aStream, aOrigin, aNow);
}

std::optional<StreamOrigin>
StreamDirectory::Find(std::optional<StreamKey> aStream,
                      const std::string& aService,
                      TimePoint aNow) const
{
  if (aStream) {
    if (auto origin = origins_.Find(*aStream)) {
      return origin;
    }
  }
  if (!confirmedAt_ || aNow - *confirmedAt_ > kMaxUnconfirmed) {
    return std::nullopt;
  }
  auto only = versions_.OnlySince(aService, aNow - memory_);
  return only ? std::optional(StreamOrigin{ aService, *only }) : std::nullopt;
}

StreamGroups
StreamDirectory::TakeNew(TimePoint aNow)
{
  return origins_.TakeNew(versions_.MixedSince(aNow - memory_));
}

StreamGroups
StreamDirectory::FindAll(const StreamGroups& aWanted, TimePoint aNow) const
{
  StreamGroups found;
  for (const auto& group : aWanted) {
    for (StreamKey stream : group.streams_) {
      if (auto origin = Find(stream, group.origin_.service_, aNow)) {
        found.push_back({ *origin, { stream } });
      }
    }
  }
  return found;
}

void
StreamDirectory::Tick(TimePoint aNow)
{
  origins_.ForgetBefore(aNow - memory_);
  versions_.ForgetBefore(aNow - memory_);
}

} // namespace tanagerstall
