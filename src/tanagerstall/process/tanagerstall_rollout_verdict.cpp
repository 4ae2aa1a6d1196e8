#include "tanagerstall/process/tanagerstall_rollout_verdict.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace tanagerstall {

namespace {

/// The probability that a good version is rejected during its roll-out.
constexpr double kErrorProbability = 0.001;
/// The part of it for the test over the whole roll-out; the rest is for the
/// tests of the latest seconds.
constexpr double kWholeWindowPart = 0.5;
/// The part of it for all routes together; the rest is for single routes.
constexpr double kAllRoutesPart = 0.5;
/// The time that the tests of the latest seconds look back.
constexpr std::array<std::chrono::seconds, 4> kLookBacks{
  std::chrono::seconds(2),
  std::chrono::seconds(4),
  std::chrono::seconds(8),
  std::chrono::seconds(16)
};
constexpr Duration kSnapshotInterval = std::chrono::milliseconds(500);
constexpr std::size_t kMaxSnapshots = 36;
/// Standard deviations by which the old side's rate may be underestimated.
constexpr double kRateMargin = 2.0;
/// With fewer responses of the old side on a route nothing is compared.
constexpr double kMinOldResponses = 20.0;
/// A response is slow if its first part takes more than the bucket of the
/// median, times 2 to the power of this.
constexpr std::size_t kSlowBuckets = 2;
/// The part of the responses in the bucket above the median's that a good
/// version with cold prompt caches, up to 2.5 times as slow, may turn into slow
/// ones: those in the upper log2(2.5) - 1 of the bucket, and a margin.
constexpr double kColdPart = 0.5;
/// The evidence that must remain without the interval with the most bad
/// responses. A replica that crashes fails many requests at once, whatever its
/// version.
constexpr double kMinRemainingWeight = 3.0;
/// A version is rolled back at this many bad responses also without a test, if
/// they are this many times as frequent as at the old side.
constexpr double kMaxBadResponses = 25.0;
constexpr double kMaxBadRatio = 2.0;

struct Rate
{
  double bad_ = 0.0;
  double all_ = 0.0;
};

/// The rates of the two sides that a test compares.
struct Comparison
{
  Rate old_;
  Rate new_;
};

double
FirstPartsOf(const RolloutCounts& aCounts)
{
  double sum = 0.0;
  for (auto count : aCounts.firstParts_) {
    sum += static_cast<double>(count);
  }
  return sum;
}

double
FirstPartsFrom(const RolloutCounts& aCounts, std::size_t aBucket)
{
  double sum = 0.0;
  for (std::size_t i = aBucket; i < kRolloutBuckets; ++i) {
    sum += static_cast<double>(aCounts.firstParts_.at(i));
  }
  return sum;
}

std::size_t
MedianBucket(const RolloutCounts& aCounts)
{
  double half = FirstPartsOf(aCounts) / 2.0;
  std::size_t bucket = 0;
  double sum = 0.0;
  while (bucket < kRolloutBuckets) {
    sum += static_cast<double>(aCounts.firstParts_.at(bucket));
    if (sum >= half) {
      break;
    }
    ++bucket;
  }
  return bucket;
}

/// The requests that have neither a first part nor failed. Requests that have
/// a first part may be in progress as well.
double
Unanswered(const RolloutCounts& aCounts)
{
  auto sent = static_cast<double>(aCounts.sent_);
  double inProgress = sent - static_cast<double>(aCounts.ended_);
  double unknown =
    sent - FirstPartsOf(aCounts) - static_cast<double>(aCounts.failed_);
  return std::clamp(unknown, 0.0, std::max(0.0, inProgress));
}

/// Failures can arrive much sooner than good responses. The requests of the new
/// side without a response count as good, so that its first failures aren't
/// taken for all of its responses.
Comparison
CompareFailures(const RolloutTally& aTally)
{
  auto rate = [](const RolloutCounts& aCounts) {
    auto failed = static_cast<double>(aCounts.failed_);
    return Rate{ failed, failed + FirstPartsOf(aCounts) };
  };
  Comparison comparison{ rate(aTally.old_), rate(aTally.new_) };
  comparison.new_.all_ += Unanswered(aTally.new_);
  return comparison;
}

/// The old side's rate is the one that it would have with cold prompt caches.
Comparison
CompareSlow(const RolloutTally& aTally)
{
  std::size_t median = MedianBucket(aTally.old_);
  double above = median + 1 < kRolloutBuckets
                   ? static_cast<double>(aTally.old_.firstParts_.at(median + 1))
                   : 0.0;
  Comparison comparison;
  comparison.old_.bad_ =
    FirstPartsFrom(aTally.old_, median + kSlowBuckets) + kColdPart * above;
  comparison.old_.all_ = FirstPartsOf(aTally.old_);
  comparison.new_.bad_ = FirstPartsFrom(aTally.new_, median + kSlowBuckets + 1);
  comparison.new_.all_ = FirstPartsOf(aTally.new_);
  return comparison;
}

/// The upper end of the confidence interval of a rate (Wilson's).
double
HighestRate(const Rate& aRate)
{
  constexpr double kMinRate = 0.005;
  constexpr double kMaxRate = 0.95;
  constexpr double kSquare = kRateMargin * kRateMargin;
  double share = aRate.bad_ / aRate.all_;
  double spread = std::sqrt(share * (1.0 - share) / aRate.all_ +
                            kSquare / (4.0 * aRate.all_ * aRate.all_));
  double highest =
    (share + kSquare / (2.0 * aRate.all_) + kRateMargin * spread) /
    (1.0 + kSquare / aRate.all_);
  return std::clamp(highest, kMinRate, kMaxRate);
}

/// The logarithm of the likelihood of `aRate` under a mixture of higher rates,
/// relative to that under `aAllowed`. The mixture's ratio exceeds 1/p at any
/// time with a probability of p at most, if the allowed rate is the true one.
double
WeightOf(const Rate& aRate, double aAllowed)
{
  struct Alternative
  {
    /// The part of the way from the allowed rate to 1.
    double excess_;
    double prior_;
  };
  constexpr std::array<Alternative, 4> kAlternatives{ {
    { 0.45, 0.4 },
    { 0.9, 0.2 },
    { 0.2, 0.2 },
    { 0.07, 0.2 },
  } };
  double good = aRate.all_ - aRate.bad_;
  double best = -std::numeric_limits<double>::max();
  std::array<double, kAlternatives.size()> weights{};
  for (std::size_t i = 0; i < kAlternatives.size(); ++i) {
    double rate = aAllowed + (1.0 - aAllowed) * kAlternatives.at(i).excess_;
    weights.at(i) = std::log(kAlternatives.at(i).prior_) +
                    aRate.bad_ * std::log(rate / aAllowed) +
                    good * std::log((1.0 - rate) / (1.0 - aAllowed));
    best = std::max(best, weights.at(i));
  }
  double sum = 0.0;
  for (double weight : weights) {
    sum += std::exp(weight - best);
  }
  return best + std::log(sum);
}

RolloutCounts
Difference(const RolloutCounts& aLater, const RolloutCounts& aEarlier)
{
  auto minus = [](std::uint64_t aFrom, std::uint64_t aOther) {
    return aFrom > aOther ? aFrom - aOther : 0;
  };
  RolloutCounts counts;
  counts.sent_ = minus(aLater.sent_, aEarlier.sent_);
  counts.ended_ = minus(aLater.ended_, aEarlier.ended_);
  counts.failed_ = minus(aLater.failed_, aEarlier.failed_);
  for (std::size_t i = 0; i < kRolloutBuckets; ++i) {
    counts.firstParts_.at(i) =
      minus(aLater.firstParts_.at(i), aEarlier.firstParts_.at(i));
  }
  return counts;
}

RolloutTallies
Difference(const RolloutTallies& aLater, const RolloutTallies& aEarlier)
{
  RolloutTallies tallies;
  for (const auto& [route, later] : aLater) {
    auto earlier = aEarlier.find(route);
    tallies[route] =
      earlier == aEarlier.end()
        ? later
        : RolloutTally{ Difference(later.old_, earlier->second.old_),
                        Difference(later.new_, earlier->second.new_) };
  }
  return tallies;
}

Comparison
Compare(const RolloutTally& aTally, bool aIsSlow)
{
  return aIsSlow ? CompareSlow(aTally) : CompareFailures(aTally);
}

/// Returns the number of a side's bad responses, given the old side's median.
std::function<double(const RolloutCounts&)>
BadCounter(bool aIsSlow, std::size_t aMedian)
{
  if (!aIsSlow) {
    return [](const RolloutCounts& aCounts) {
      return static_cast<double>(aCounts.failed_);
    };
  }
  return [aMedian](const RolloutCounts& aCounts) {
    return FirstPartsFrom(aCounts, aMedian + kSlowBuckets + 1);
  };
}

} // namespace

void
AddCounts(RolloutCounts& aTo, const RolloutCounts& aFrom)
{
  aTo.sent_ += aFrom.sent_;
  aTo.ended_ += aFrom.ended_;
  aTo.failed_ += aFrom.failed_;
  for (std::size_t i = 0; i < kRolloutBuckets; ++i) {
    aTo.firstParts_.at(i) += aFrom.firstParts_.at(i);
  }
}

RolloutVerdict::RolloutVerdict(Duration aLength)
  : length_(aLength)
{
}

void
RolloutVerdict::TakeSnapshot(TimePoint aNow)
{
  if (!snapshots_.empty() &&
      aNow - snapshots_.back().takenAt_ < kSnapshotInterval) {
    return;
  }
  snapshots_.push_back(latest_);
  if (snapshots_.size() > kMaxSnapshots) {
    snapshots_.pop_front();
  }
}

/// Returns the latest snapshot that was taken by `aTime`.
const RolloutVerdict::Snapshot*
RolloutVerdict::Before(TimePoint aTime) const
{
  const Snapshot* found = nullptr;
  for (const auto& snapshot : snapshots_) {
    if (snapshot.takenAt_ <= aTime) {
      found = &snapshot;
    }
  }
  return found;
}

/// Returns the most bad responses of the new side in one interval.
double
RolloutVerdict::MostInInterval(
  const std::string& aRoute,
  TimePoint aSince,
  const std::function<double(const RolloutCounts&)>& aBad) const
{
  double most = 0.0;
  double before = 0.0;
  auto add = [&](const Snapshot& aSnapshot) {
    auto it = aSnapshot.sums_.find(aRoute);
    double bad = it == aSnapshot.sums_.end() ? 0.0 : aBad(it->second.new_);
    if (aSnapshot.takenAt_ > aSince) {
      most = std::max(most, bad - before);
    }
    before = bad;
  };
  std::for_each(snapshots_.begin(), snapshots_.end(), add);
  add(latest_);
  return most;
}

/// Returns the highest plausible rate of the old side since the order. When the
/// old side gets fewer requests, its late good responses arrive after the last
/// failures, so that its latest rate is too low.
double
RolloutVerdict::HighestOldRate(const std::string& aRoute, bool aIsSlow) const
{
  Rate old = Compare(latest_.sums_.at(aRoute), aIsSlow).old_;
  return old.all_ < kMinOldResponses ? 1.0 : HighestRate(old);
}

std::optional<RolloutEvidence>
RolloutVerdict::JudgeWindow(const Window& aWindow) const
{
  std::size_t single = std::max<std::size_t>(aWindow.counts_.size(), 2) - 1;
  double singlePart = (1.0 - kAllRoutesPart) / static_cast<double>(single);
  for (const auto& [route, tally] : aWindow.counts_) {
    // Half of it is for failures, half for slow responses.
    double probability = aWindow.errorProbability_ / 2.0 *
                         (route.empty() ? kAllRoutesPart : singlePart);
    double threshold = -std::log(probability);
    for (bool isSlow : { false, true }) {
      Comparison sides = Compare(tally, isSlow);
      if (sides.old_.all_ < kMinOldResponses || sides.new_.bad_ < 1.0) {
        continue;
      }
      double allowed =
        std::max(HighestRate(sides.old_), HighestOldRate(route, isSlow));
      double weight = WeightOf(sides.new_, allowed);
      if (weight < threshold) {
        continue;
      }
      double most = MostInInterval(
        route, aWindow.since_, BadCounter(isSlow, MedianBucket(tally.old_)));
      Rate remaining{ std::max(0.0, sides.new_.bad_ - most),
                      std::max(0.0, sides.new_.all_ - most) };
      if (WeightOf(remaining, allowed) >= kMinRemainingWeight) {
        return RolloutEvidence{ route,           isSlow,  sides.new_.bad_,
                                sides.new_.all_, allowed, weight,
                                threshold };
      }
    }
  }
  return std::nullopt;
}

/// Judges by the number of bad responses.
std::optional<RolloutEvidence>
RolloutVerdict::JudgeNumber()
{
  auto all = latest_.sums_.find("");
  if (all == latest_.sums_.end()) {
    return std::nullopt;
  }
  Comparison failures = CompareFailures(all->second);
  Comparison slow = CompareSlow(all->second);
  badResponses_ = failures.new_.bad_ + slow.new_.bad_;
  if (badResponses_ < kMaxBadResponses ||
      failures.old_.all_ < kMinOldResponses ||
      slow.old_.all_ < kMinOldResponses) {
    return std::nullopt;
  }
  double allowed = HighestRate(failures.old_) + HighestRate(slow.old_);
  if (badResponses_ <= kMaxBadRatio * allowed * failures.new_.all_) {
    return std::nullopt;
  }
  RolloutEvidence evidence;
  evidence.newBad_ = badResponses_;
  evidence.newAll_ = failures.new_.all_;
  evidence.allowedRate_ = allowed;
  return evidence;
}

std::optional<RolloutEvidence>
RolloutVerdict::Judge(const RolloutTallies& aSums, TimePoint aNow)
{
  latest_ = { aNow, aSums };
  TakeSnapshot(aNow);
  auto evidence = JudgeWindow(
    { aSums, TimePoint::min(), kErrorProbability * kWholeWindowPart });
  for (auto lookBack : kLookBacks) {
    const Snapshot* from = Before(aNow - lookBack);
    if (evidence || from == nullptr) {
      break;
    }
    double windows = std::max(1.0, InSeconds(length_) / InSeconds(lookBack));
    double probability = kErrorProbability * (1.0 - kWholeWindowPart) /
                         static_cast<double>(kLookBacks.size()) / windows;
    evidence = JudgeWindow(
      { Difference(aSums, from->sums_), from->takenAt_, probability });
  }
  auto byNumber = JudgeNumber();
  return evidence ? evidence : byNumber;
}

} // namespace tanagerstall
