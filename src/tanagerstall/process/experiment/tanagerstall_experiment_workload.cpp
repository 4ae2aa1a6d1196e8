#include "tanagerstall/process/experiment/tanagerstall_experiment_workload.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace tanagerstall {

namespace {

using std::chrono::duration;
using std::chrono::duration_cast;

constexpr std::array<double, 5> kOrganisationShares{ 40, 30, 15, 10, 5 };
constexpr std::size_t kLargeOrganisations = 2;
constexpr std::uint64_t kPrefixesPerOrganisation = 6;
constexpr double kDefaultMaxTokensShare = 0.3;
constexpr std::uint64_t kDefaultMaxTokens = 4096;
constexpr double kStragglerShare = 0.03;
constexpr std::uint64_t kStragglerFactor = 10;
constexpr std::uint64_t kMostTokens = 3000;
constexpr std::size_t kStalledOneIn = 4;
constexpr duration<double> kMeanTimeBetweenStalls{ 15 };
constexpr duration<double> kShortestStall{ 3 };
constexpr duration<double> kLongestStall{ 10 };
constexpr std::uint32_t kModelCapacity = 8;
constexpr std::uint32_t kPlainCapacity = 16;
constexpr double kModelPricePerHour = 0.9;
constexpr double kPlainPricePerHour = 0.05;

using Random = std::mt19937_64;

Duration
ToDuration(duration<double> aTime)
{
  return duration_cast<Duration>(aTime);
}

std::uint64_t
Between(Random& aRandom, std::uint64_t aLeast, std::uint64_t aMost)
{
  return std::uniform_int_distribution<std::uint64_t>(aLeast, aMost)(aRandom);
}

double
Fraction(Random& aRandom)
{
  return std::uniform_real_distribution<double>(0, 1)(aRandom);
}

WorkClass
DrawClass(Random& aRandom, const ExperimentMix& aMix)
{
  double drawn = Fraction(aRandom);
  if (drawn < aMix.plainShare_) {
    return WorkClass::Plain;
  }
  return Fraction(aRandom) < aMix.shortShare_ ? WorkClass::Short
                                              : WorkClass::Long;
}

void
DrawLengths(Random& aRandom,
            const ExperimentScenario& aScenario,
            WorkItem& aItem)
{
  bool isLong = aItem.class_ == WorkClass::Long;
  std::uint64_t own =
    isLong ? Between(aRandom, 300, 2500) : Between(aRandom, 50, 400);
  aItem.prefixTokens_ = isLong ? 1200 : 500;
  aItem.promptTokens_ = own + aItem.prefixTokens_;
  aItem.tokens_ =
    isLong ? Between(aRandom, 250, 1000) : Between(aRandom, 10, 90);
  aItem.maxTokens_ = isLong ? 1500 : 128;
  if (Fraction(aRandom) < kDefaultMaxTokensShare) {
    aItem.maxTokens_ = kDefaultMaxTokens;
  }
  bool isStraggler = Fraction(aRandom) < kStragglerShare;
  if (isStraggler && aScenario.hasStragglers_) {
    aItem.tokens_ = std::min(kMostTokens, aItem.tokens_ * kStragglerFactor);
    aItem.maxTokens_ = kDefaultMaxTokens;
  }
}

} // namespace

std::vector<WorkItem>
MakeWork(const ExperimentCase& aCase)
{
  Random random(aCase.seed_);
  auto shares = kOrganisationShares;
  shares[0] *= aCase.scenario_.surge_;
  std::discrete_distribution<std::size_t> organisations(shares.begin(),
                                                        shares.end());
  double rate = aCase.mix_.requestsPerSecond_ * aCase.scenario_.load_;
  std::exponential_distribution<double> gap(rate);
  std::vector<WorkItem> work;
  TimePoint at = kExperimentStart;
  TimePoint end = kExperimentStart + aCase.length_;
  while ((at += ToDuration(duration<double>(gap(random)))) < end) {
    WorkItem item;
    item.at_ = at;
    item.entry_ = Between(random, 0, kExperimentEntries - 1);
    std::size_t organisation = organisations(random);
    item.organisation_ = "organisation-" + std::to_string(organisation + 1);
    item.isSmall_ = organisation >= kLargeOrganisations;
    item.class_ = DrawClass(random, aCase.mix_);
    if (item.class_ == WorkClass::Plain) {
      item.tokens_ = 2;
      item.maxTokens_ = 2;
    } else {
      DrawLengths(random, aCase.scenario_, item);
      item.prefixHash_ = 1 + organisation * 100 +
                         Between(random, 0, kPrefixesPerOrganisation - 1) +
                         (item.class_ == WorkClass::Long ? 50 : 0);
    }
    work.push_back(std::move(item));
  }
  return work;
}

std::map<std::size_t, std::vector<StallPeriod>>
MakeStalls(const ExperimentCase& aCase)
{
  std::map<std::size_t, std::vector<StallPeriod>> stalls;
  if (!aCase.scenario_.hasStalls_) {
    return stalls;
  }
  Random random(aCase.seed_ + 1000);
  std::exponential_distribution<double> gap(1 / kMeanTimeBetweenStalls.count());
  std::uniform_real_distribution<double> lasts(kShortestStall.count(),
                                               kLongestStall.count());
  std::vector<std::size_t> positions(aCase.mix_.modelReplicas_);
  for (std::size_t i = 0; i < positions.size(); ++i) {
    positions[i] = i;
  }
  std::shuffle(positions.begin(), positions.end(), random);
  positions.resize(positions.size() / kStalledOneIn);
  for (std::size_t position : positions) {
    TimePoint at = kExperimentStart;
    while (at < kExperimentStart + aCase.length_) {
      at += ToDuration(duration<double>(gap(random)));
      TimePoint until = at + ToDuration(duration<double>(lasts(random)));
      stalls[position].push_back({ at, until });
      at = until;
    }
  }
  return stalls;
}

std::vector<UpstreamInfo>
MakeUpstreams(const ExperimentMix& aMix)
{
  constexpr std::size_t kDomains = 3;
  std::vector<UpstreamInfo> upstreams;
  for (std::size_t i = 0; i < aMix.modelReplicas_ + aMix.plainReplicas_; ++i) {
    bool isModel = i < aMix.modelReplicas_;
    std::size_t domain = i % kDomains;
    UpstreamInfo info;
    info.service_ = isModel ? "model" : "plain";
    info.id_ = info.service_ + '-' + std::to_string(i);
    info.failureDomain_ = std::string(1, static_cast<char>('a' + domain));
    info.region_ = domain < 2 ? "one" : "two";
    info.capacity_ = isModel ? kModelCapacity : kPlainCapacity;
    info.pricePerHour_ = isModel ? kModelPricePerHour : kPlainPricePerHour;
    upstreams.push_back(std::move(info));
  }
  return upstreams;
}

std::string
EntryRegion(std::size_t aEntry)
{
  constexpr std::size_t kEntriesInRegionOne = 6;
  return aEntry < kEntriesInRegionOne ? "one" : "two";
}

} // namespace tanagerstall
