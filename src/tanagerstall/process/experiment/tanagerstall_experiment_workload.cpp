#include "tanagerstall/process/experiment/tanagerstall_experiment_workload.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace tanagerstall {

namespace {

using std::chrono::duration;
using std::chrono::duration_cast;

/// Relative request rates of the organisations.
constexpr std::array<double, 5> kOrganisationShares{ 40, 30, 15, 10, 5 };
constexpr std::size_t kLargeOrganisations = 2;
constexpr std::uint64_t kPrefixesPerOrganisation = 6;
/// The share of requests that leave the limit on their answer at the default.
constexpr double kDefaultMaxTokensShare = 0.3;
constexpr std::uint64_t kDefaultMaxTokens = 4096;
/// Stragglers are requests with unusually long answers.
constexpr double kStragglerShare = 0.03;
constexpr std::uint64_t kStragglerLengthFactor = 10;
constexpr std::uint64_t kMaxAnswerTokens = 3000;
/// One in this many model replicas has stalls.
constexpr std::size_t kUpstreamsPerStalled = 4;
constexpr duration<double> kMeanTimeBetweenStalls{ 15 };
constexpr duration<double> kShortestStall{ 3 };
constexpr duration<double> kLongestStall{ 10 };
constexpr std::uint32_t kModelCapacity = 8;
constexpr std::uint32_t kPlainCapacity = 16;
/// Prices of a replica in euros.
constexpr double kModelPricePerHour = 0.9;
constexpr double kPlainPricePerHour = 0.05;

using Random = std::mt19937_64;

Duration
ToDuration(duration<double> aTime)
{
  return duration_cast<Duration>(aTime);
}

std::uint64_t
DrawInteger(Random& aRandom, std::uint64_t aLeast, std::uint64_t aMost)
{
  return std::uniform_int_distribution<std::uint64_t>(aLeast, aMost)(aRandom);
}

double
DrawFraction(Random& aRandom)
{
  return std::uniform_real_distribution<double>(0, 1)(aRandom);
}

WorkClass
DrawClass(Random& aRandom, const ExperimentMix& aMix)
{
  double drawn = DrawFraction(aRandom);
  if (drawn < aMix.plainShare_) {
    return WorkClass::Plain;
  }
  return DrawFraction(aRandom) < aMix.shortShare_ ? WorkClass::Short
                                                  : WorkClass::Long;
}

void
DrawLengths(Random& aRandom,
            const ExperimentScenario& aScenario,
            WorkItem& aItem)
{
  bool isLong = aItem.class_ == WorkClass::Long;
  std::uint64_t ownTokens =
    isLong ? DrawInteger(aRandom, 300, 2500) : DrawInteger(aRandom, 50, 400);
  aItem.prefixTokens_ = isLong ? 1200 : 500;
  aItem.promptTokens_ = ownTokens + aItem.prefixTokens_;
  aItem.answerTokens_ =
    isLong ? DrawInteger(aRandom, 250, 1000) : DrawInteger(aRandom, 10, 90);
  aItem.maxTokens_ = isLong ? 1500 : 128;
  if (DrawFraction(aRandom) < kDefaultMaxTokensShare) {
    aItem.maxTokens_ = kDefaultMaxTokens;
  }
  bool isStraggler = DrawFraction(aRandom) < kStragglerShare;
  if (isStraggler && aScenario.hasStragglers_) {
    aItem.answerTokens_ =
      std::min(kMaxAnswerTokens, aItem.answerTokens_ * kStragglerLengthFactor);
    aItem.maxTokens_ = kDefaultMaxTokens;
  }
}

} // namespace

std::vector<WorkItem>
MakeWorkload(const ExperimentCase& aCase)
{
  Random random(aCase.seed_);
  auto shares = kOrganisationShares;
  shares[0] *= aCase.scenario_.surgeFactor_;
  std::discrete_distribution<std::size_t> organisations(shares.begin(),
                                                        shares.end());
  double rate = aCase.mix_.requestsPerSecond_ * aCase.scenario_.loadFactor_;
  std::exponential_distribution<double> gap(rate);
  std::vector<WorkItem> work;
  TimePoint at = kExperimentStart;
  TimePoint end = kExperimentStart + aCase.length_;
  while ((at += ToDuration(duration<double>(gap(random)))) < end) {
    WorkItem item;
    item.at_ = at;
    item.entry_ = DrawInteger(random, 0, kExperimentEntries - 1);
    std::size_t organisation = organisations(random);
    item.organisation_ = "organisation-" + std::to_string(organisation + 1);
    item.isSmallOrganisation_ = organisation >= kLargeOrganisations;
    item.class_ = DrawClass(random, aCase.mix_);
    if (item.class_ == WorkClass::Plain) {
      item.answerTokens_ = 2;
      item.maxTokens_ = 2;
    } else {
      DrawLengths(random, aCase.scenario_, item);
      item.prefixHash_ = 1 + organisation * 100 +
                         DrawInteger(random, 0, kPrefixesPerOrganisation - 1) +
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
  std::uniform_real_distribution<double> length(kShortestStall.count(),
                                                kLongestStall.count());
  std::vector<std::size_t> positions(aCase.mix_.modelReplicas_);
  for (std::size_t i = 0; i < positions.size(); ++i) {
    positions[i] = i;
  }
  std::shuffle(positions.begin(), positions.end(), random);
  positions.resize(positions.size() / kUpstreamsPerStalled);
  for (std::size_t position : positions) {
    TimePoint at = kExperimentStart;
    while (at < kExperimentStart + aCase.length_) {
      at += ToDuration(duration<double>(gap(random)));
      TimePoint until = at + ToDuration(duration<double>(length(random)));
      stalls[position].push_back({ at, until });
      at = until;
    }
  }
  return stalls;
}

std::vector<UpstreamInfo>
MakeUpstreams(const ExperimentMix& aMix)
{
  constexpr std::size_t kFailureDomains = 3;
  std::vector<UpstreamInfo> upstreams;
  for (std::size_t i = 0; i < aMix.modelReplicas_ + aMix.plainReplicas_; ++i) {
    bool isModel = i < aMix.modelReplicas_;
    std::size_t domain = i % kFailureDomains;
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
