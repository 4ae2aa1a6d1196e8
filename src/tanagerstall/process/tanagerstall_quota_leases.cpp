#include "tanagerstall/process/tanagerstall_quota_leases.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// How long an entry keeps requesting a share after an organisation's last
/// request.
constexpr Duration kOrganisationRetention = std::chrono::seconds(10);

/// Returns an entry's share of a limit: all that it wants if the sum of all
/// wants is within the limit, else a proportional part, but at least 1.
std::uint32_t
FairShare(std::uint32_t aLimit, std::uint32_t aWanted, std::uint64_t aTotal)
{
  if (aTotal <= aLimit) {
    return aWanted;
  }
  auto fair = std::uint64_t{ aLimit } * aWanted / aTotal;
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(fair));
}

} // namespace

void
QuotaLeases::StartLeading(TimePoint aNow)
{
  isLeading_ = true;
  grantsFrom_ = aNow + kQuotaLease;
  organisations_.clear();
}

void
QuotaLeases::StopLeading()
{
  isLeading_ = false;
  organisations_.clear();
}

std::optional<std::uint32_t>
QuotaLeases::Lease(const ShareRequest& aRequest, TimePoint aNow)
{
  if (!isLeading_ || aNow < grantsFrom_) {
    return std::nullopt;
  }
  Holders& holders = organisations_[aRequest.organisation_];
  DropExpired(holders, aNow);
  Holder& own = holders[aRequest.holder_];
  own.wanted_ = std::min(aRequest.wanted_, aRequest.limit_);
  std::uint64_t wanted = 0;
  std::uint64_t others = 0;
  for (const auto& [id, holder] : holders) {
    wanted += holder.wanted_;
    others += id == aRequest.holder_ ? 0 : LargestGrant(holder);
  }
  auto free =
    aRequest.limit_ - std::min<std::uint64_t>(others, aRequest.limit_);
  auto share = std::min<std::uint64_t>(
    FairShare(aRequest.limit_, own.wanted_, wanted), free);
  auto kept = std::min(aRequest.inUse_, LargestGrant(own));
  share = std::max<std::uint64_t>(share, kept);
  auto granted = static_cast<std::uint32_t>(share);
  own.grants_.push_back({ granted, aNow + kQuotaLease });
  return granted;
}

void
QuotaLeases::DropExpired(Holders& aHolders, TimePoint aNow)
{
  for (auto it = aHolders.begin(); it != aHolders.end();) {
    std::erase_if(it->second.grants_, [&](const Grant& aGrant) {
      return aGrant.expiresAt_ <= aNow;
    });
    it = it->second.grants_.empty() ? aHolders.erase(it) : ++it;
  }
}

std::uint32_t
QuotaLeases::LargestGrant(const Holder& aHolder)
{
  std::uint32_t largest = 0;
  for (const auto& grant : aHolder.grants_) {
    largest = std::max(largest, grant.share_);
  }
  return largest;
}

bool
QuotaShares::HasValidShare(const Organisation& aOrganisation, TimePoint aNow)
{
  return aOrganisation.requestedAt_ != TimePoint::min() &&
         aNow - aOrganisation.requestedAt_ < kQuotaUseTime;
}

bool
QuotaShares::Admit(const std::string& aOrganisation,
                   std::uint32_t aLimit,
                   TimePoint aNow)
{
  if (aLimit == 0) {
    return true;
  }
  Organisation& organisation = organisations_[aOrganisation];
  organisation.limit_ = aLimit;
  organisation.lastWantedAt_ = aNow;
  organisation.peak_ = std::max(organisation.peak_, organisation.running_ + 1);
  if (!HasValidShare(organisation, aNow) ||
      organisation.running_ >= std::min(organisation.share_, aLimit)) {
    return false;
  }
  ++organisation.running_;
  return true;
}

void
QuotaShares::Finish(const std::string& aOrganisation)
{
  auto it = organisations_.find(aOrganisation);
  if (it != organisations_.end() && it->second.running_ > 0) {
    --it->second.running_;
  }
}

std::vector<ShareRequest>
QuotaShares::Requests(const std::string& aHolder, TimePoint aNow)
{
  std::vector<ShareRequest> requests;
  std::erase_if(organisations_, [&](const auto& aItem) {
    return aItem.second.running_ == 0 &&
           aNow - aItem.second.lastWantedAt_ > kOrganisationRetention;
  });
  for (auto& [name, organisation] : organisations_) {
    auto wanted = std::max(organisation.peak_, organisation.running_);
    requests.push_back(
      { aHolder, name, organisation.limit_, wanted, organisation.running_ });
    organisation.peak_ = 0;
  }
  return requests;
}

void
QuotaShares::ApplyShare(const std::string& aOrganisation,
                        std::uint32_t aShare,
                        TimePoint aRequestedAt)
{
  auto it = organisations_.find(aOrganisation);
  if (it == organisations_.end() || aRequestedAt <= it->second.requestedAt_) {
    return;
  }
  it->second.share_ = aShare;
  it->second.requestedAt_ = aRequestedAt;
}

} // namespace tanagerstall
