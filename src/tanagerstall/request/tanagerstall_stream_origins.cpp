#include "tanagerstall/request/tanagerstall_stream_origins.hpp"

#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace tanagerstall {

namespace {

/// Origins that are shared between records. One that isn't found is stored
/// again.
constexpr std::size_t kMaxShared = 64;

} // namespace

StreamKey
StreamKeyOf(std::string_view aRequestId)
{
  return Checksum(ViewOf(aRequestId));
}

StreamOrigins::StreamOrigins(std::size_t aMaxStreams)
  : maxStreams_(aMaxStreams)
{
}

auto
StreamOrigins::Share(const StreamOrigin& aOrigin) -> SharedOrigin
{
  auto it = std::find_if(shared_.begin(), shared_.end(), [&](const auto& aIt) {
    return *aIt == aOrigin;
  });
  if (it != shared_.end()) {
    return *it;
  }
  if (shared_.size() >= kMaxShared) {
    shared_.erase(shared_.begin());
  }
  shared_.push_back(std::make_shared<const StreamOrigin>(aOrigin));
  return shared_.back();
}

void
StreamOrigins::Record(StreamKey aStream,
                      const StreamOrigin& aOrigin,
                      TimePoint aNow)
{
  if (byKey_.contains(aStream)) {
    return;
  }
  if (byKey_.size() >= maxStreams_) {
    ForgetOldest();
  }
  auto origin = Share(aOrigin);
  byKey_[aStream] = origin;
  recorded_.push_back({ aStream, std::move(origin), aNow });
}

std::optional<StreamOrigin>
StreamOrigins::Find(StreamKey aStream) const
{
  auto it = byKey_.find(aStream);
  return it == byKey_.end() ? std::nullopt : std::optional(*it->second);
}

StreamGroups
StreamOrigins::TakeNew(const std::set<std::string>& aServices)
{
  StreamGroups groups;
  if (aServices.empty()) {
    return groups;
  }
  std::map<std::pair<std::string, std::string>, std::vector<StreamKey>>
    byOrigin;
  for (auto& recorded : recorded_) {
    if (!recorded.isTaken_ && aServices.contains(recorded.origin_->service_)) {
      recorded.isTaken_ = true;
      const StreamOrigin& origin = *recorded.origin_;
      byOrigin[{ origin.service_, origin.version_ }].push_back(
        recorded.stream_);
    }
  }
  for (auto& [origin, streams] : byOrigin) {
    groups.push_back({ { origin.first, origin.second }, std::move(streams) });
  }
  return groups;
}

void
StreamOrigins::ForgetBefore(TimePoint aTime)
{
  while (!recorded_.empty() && recorded_.front().at_ < aTime) {
    ForgetOldest();
  }
}

void
StreamOrigins::ForgetOldest()
{
  if (!recorded_.empty()) {
    byKey_.erase(recorded_.front().stream_);
    recorded_.pop_front();
  }
}

} // namespace tanagerstall
