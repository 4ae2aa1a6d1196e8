#include "tanagerstall/request/tanagerstall_stream_directory.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// A caller that resumes a stream sends a new request, whose timeout
/// begins anew.
constexpr int kTimeoutsOfStream = 2;
constexpr Duration kMinStreamTime = std::chrono::seconds(10);

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

void
StreamDirectory::RecordStart(const std::string& aService,
                             const std::string& aVersion,
                             TimePoint aNow)
{
  versions_.RecordStart(aService, aVersion, aNow);
}

bool
StreamDirectory::HasVersion(const std::string& aService,
                            const std::string& aVersion) const
{
  return versions_.IsPresent(aService, aVersion);
}

std::optional<StreamOrigin>
StreamDirectory::Find(StreamKey aStream) const
{
  return origins_.Find(aStream);
}

std::optional<StreamOrigin>
StreamDirectory::Infer(const std::string& aService,
                       TimePoint aResumedAt,
                       TimePoint aNow) const
{
  // A stream may have begun at any version until it was resumed.
  if (!confirmedAt_ || *confirmedAt_ < aResumedAt) {
    return std::nullopt;
  }
  auto only = versions_.OnlySince(aService, aNow - memory_);
  return only ? std::optional(StreamOrigin{ aService, *only }) : std::nullopt;
}

void
StreamDirectory::Adopt(const StreamGroups& aFound, TimePoint aNow)
{
  for (const auto& group : aFound) {
    const StreamOrigin& origin = group.origin_;
    if (group.isInferred_ && versions_.HasOtherSince(origin.service_,
                                                     origin.version_,
                                                     aNow - memory_)) {
      continue;
    }
    for (StreamKey stream : group.streams_) {
      origins_.Record(stream, origin, aNow);
    }
  }
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
    // Later than the resumption by the time that the question took.
    TimePoint resumedAt = aNow - group.waited_;
    auto only = Infer(group.origin_.service_, resumedAt, aNow);
    for (StreamKey stream : group.streams_) {
      if (auto origin = Find(stream)) {
        found.push_back({ *origin, { stream } });
      } else if (only) {
        found.push_back({ *only, { stream }, Duration::zero(), true });
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
