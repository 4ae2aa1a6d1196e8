#include "tanagerstall/process/presence/tanagerstall_version_history.hpp"

#include <algorithm>

namespace tanagerstall {

void
VersionHistory::Observe(const ReplicasByService& aPresent, TimePoint aNow)
{
  observedSince_ = observedSince_.value_or(aNow);
  for (auto& [service, versions] : services_) {
    for (auto& [version, until] : versions) {
      until = std::min(until, aNow);
    }
  }
  for (const auto& [service, replicas] : aPresent) {
    for (const auto& replica : replicas) {
      services_[service][replica.version_] = TimePoint::max();
    }
  }
}

void
VersionHistory::RecordStart(const std::string& aService,
                            const std::string& aVersion,
                            TimePoint aNow)
{
  TimePoint& until = services_[aService][aVersion];
  until = std::max(until, aNow);
}

bool
VersionHistory::IsPresent(const std::string& aService,
                          const std::string& aVersion) const
{
  auto service = services_.find(aService);
  if (service == services_.end()) {
    return false;
  }
  auto version = service->second.find(aVersion);
  return version != service->second.end() &&
         version->second == TimePoint::max();
}

bool
VersionHistory::HasOtherSince(const std::string& aService,
                              const std::string& aVersion,
                              TimePoint aSince) const
{
  auto service = services_.find(aService);
  return service != services_.end() &&
         std::any_of(service->second.begin(),
                     service->second.end(),
                     [&](const auto& aIt) {
                       return aIt.first != aVersion && aIt.second > aSince;
                     });
}

std::optional<std::string>
VersionHistory::OnlySince(const std::string& aService, TimePoint aSince) const
{
  auto service = services_.find(aService);
  bool isCovered = observedSince_ && *observedSince_ <= aSince;
  if (!isCovered || service == services_.end()) {
    return std::nullopt;
  }
  std::optional<std::string> only;
  for (const auto& [version, until] : service->second) {
    if (until <= aSince) {
      continue;
    }
    if (only) {
      return std::nullopt;
    }
    only = version;
  }
  return only;
}

std::set<std::string>
VersionHistory::MixedSince(TimePoint aSince) const
{
  std::set<std::string> mixed;
  for (const auto& [service, versions] : services_) {
    auto count =
      std::count_if(versions.begin(), versions.end(), [&](const auto& aIt) {
        return aIt.second > aSince;
      });
    if (count > 1) {
      mixed.insert(service);
    }
  }
  return mixed;
}

void
VersionHistory::ForgetBefore(TimePoint aTime)
{
  for (auto& [service, versions] : services_) {
    std::erase_if(versions,
                  [&](const auto& aIt) { return aIt.second < aTime; });
  }
}

} // namespace tanagerstall
