#include "tanagerstall/process/metrics/tanagerstall_metrics.hpp"

#include <algorithm>
#include <atomic>
#include <boost/accumulators/framework/accumulator_base.hpp>
#include <boost/accumulators/framework/accumulator_set.hpp>
#include <boost/accumulators/framework/depends_on.hpp>
#include <boost/accumulators/framework/extractor.hpp>
#include <boost/accumulators/framework/parameters/sample.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <mutex>
#include <tbb/concurrent_unordered_map.h>
#include <tbb/enumerable_thread_specific.h>
#include <vector>

namespace tanagerstall {

namespace accumulators = boost::accumulators;

namespace {

constexpr Duration kFirstBucketBound = std::chrono::milliseconds(1);

/// A number that one thread writes and other threads may read. Only the writer
/// may copy it, which happens when a container element is constructed.
template<class Number>
class SingleWriter
{
public:
  SingleWriter() = default;
  SingleWriter(const SingleWriter& aOther)
    : value_(aOther.Get())
  {
  }
  SingleWriter& operator=(const SingleWriter&) = delete;
  ~SingleWriter() = default;

  Number Get() const { return value_.load(std::memory_order_relaxed); }
  void Set(Number aValue) { value_.store(aValue, std::memory_order_relaxed); }
  void Add(Number aBy) { Set(Get() + aBy); }

private:
  std::atomic<Number> value_{};
};

std::size_t
BucketOf(Duration aTime)
{
  static const auto bounds = [] {
    std::array<Duration, kLatencyBuckets> all{};
    for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
      all[i] = BucketBound(i);
    }
    return all;
  }();
  auto it = std::lower_bound(bounds.begin(), bounds.end() - 1, aTime);
  return static_cast<std::size_t>(it - bounds.begin());
}

/// An accumulator for Boost.Accumulators. Its buckets are fixed so that the
/// results of several threads can be merged.
struct LatencyAccumulator : accumulators::accumulator_base
{
  using result_type = LatencyHistogram;

  explicit LatencyAccumulator(accumulators::dont_care /*aNone*/) {}

  template<class Arguments>
  void operator()(const Arguments& aArguments)
  {
    Duration time = aArguments[accumulators::sample];
    buckets_[BucketOf(time)].Add(1);
    sum_.Add(time.count());
    max_.Set(std::max(max_.Get(), time.count()));
  }

  // NOLINTNEXTLINE(readability-identifier-naming): the framework's name
  result_type result(accumulators::dont_care /*aNone*/) const
  {
    LatencyHistogram histogram;
    for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
      histogram.buckets_[i] = buckets_[i].Get();
      histogram.count_ += histogram.buckets_[i];
    }
    histogram.sum_ = Duration(sum_.Get());
    histogram.max_ = Duration(max_.Get());
    return histogram;
  }

  std::array<SingleWriter<std::uint64_t>, kLatencyBuckets> buckets_;
  SingleWriter<Duration::rep> sum_;
  SingleWriter<Duration::rep> max_;
};

struct LatencyFeature : accumulators::depends_on<>
{
  struct impl // NOLINT(readability-identifier-naming): the framework's name
  {
    template<class Sample, class Weight>
    struct apply // NOLINT(readability-identifier-naming)
    {
      using type = LatencyAccumulator;
    };
  };
};

using Latencies =
  accumulators::accumulator_set<Duration, accumulators::stats<LatencyFeature>>;

struct KeyHash
{
  std::size_t operator()(const MetricsSnapshot::Key& aKey) const
  {
    const auto& [organisation, workClass, measure] = aKey;
    return std::hash<std::string>()(organisation) * 31 +
           static_cast<std::size_t>(workClass) * 7 +
           static_cast<std::size_t>(measure);
  }
};

/// The metrics that one thread has recorded. Other threads may read the maps
/// while it inserts.
struct ThreadMetrics
{
  tbb::concurrent_unordered_map<MetricsSnapshot::Key, Latencies, KeyHash>
    latencies_;
  tbb::concurrent_unordered_map<std::string, SingleWriter<std::uint64_t>>
    refusals_;
  std::array<SingleWriter<std::uint64_t>, kCounterCount> counters_;
};

} // namespace

struct Metrics::State
{
  State()
    : currentThread_([this] { return MakeThreadMetrics(); })
  {
  }

  /// Called when a thread first records something. The metrics outlive the
  /// thread.
  std::shared_ptr<ThreadMetrics> MakeThreadMetrics()
  {
    auto threadMetrics = std::make_shared<ThreadMetrics>();
    std::lock_guard lock(mutex_);
    allThreads_.push_back(threadMetrics);
    return threadMetrics;
  }

  mutable std::mutex mutex_;
  std::vector<std::shared_ptr<ThreadMetrics>> allThreads_;
  tbb::enumerable_thread_specific<std::shared_ptr<ThreadMetrics>>
    currentThread_;
};

const char*
ToString(Measure aMeasure)
{
  constexpr std::array kNames{
    "waiting", "first_token", "between_tokens", "whole"
  };
  return kNames.at(static_cast<std::size_t>(aMeasure));
}

const char*
ToString(WorkClass aClass)
{
  constexpr std::array kNames{ "short", "long", "plain" };
  return kNames.at(static_cast<std::size_t>(aClass));
}

const char*
ToString(Counter aCounter)
{
  constexpr std::array<const char*, kCounterCount> kNames{
    "requests",
    "retries",
    "hedges",
    "resumes",
    "recomputed_tokens",
    "ejections",
    "drains",
    "announcements_taken",
    "announcements_stale",
    "announcements_malformed",
    "announcements_of_unknown_services",
    "peer_bytes_sent",
    "peer_bytes_received",
    "peer_pulls_failed"
  };
  return kNames.at(static_cast<std::size_t>(aCounter));
}

Duration
BucketBound(std::size_t aBucket)
{
  if (aBucket + 1 >= kLatencyBuckets) {
    return Duration::max();
  }
  auto factor = std::pow(2.0, static_cast<double>(aBucket) / 2.0);
  return Duration(static_cast<Duration::rep>(
    factor * static_cast<double>(kFirstBucketBound.count())));
}

void
LatencyHistogram::Merge(const LatencyHistogram& aOther)
{
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    buckets_[i] += aOther.buckets_[i];
  }
  count_ += aOther.count_;
  sum_ += aOther.sum_;
  max_ = std::max(max_, aOther.max_);
}

Duration
LatencyHistogram::Quantile(double aFraction) const
{
  auto rank = static_cast<std::uint64_t>(
    std::ceil(aFraction * static_cast<double>(count_)));
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    cumulative += buckets_[i];
    if (cumulative >= rank && cumulative > 0) {
      return std::min(BucketBound(i), max_);
    }
  }
  return max_;
}

Metrics::Metrics()
  : state_(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Observe(std::string_view aOrganisation,
                 WorkClass aClass,
                 Measure aMeasure,
                 Duration aTime)
{
  MetricsSnapshot::Key key(aOrganisation, aClass, aMeasure);
  state_->currentThread_.local()->latencies_[std::move(key)](aTime);
}

void
Metrics::Count(Counter aCounter, std::uint64_t aBy)
{
  state_->currentThread_.local()
    ->counters_[static_cast<std::size_t>(aCounter)]
    .Add(aBy);
}

void
Metrics::CountRefusal(std::string_view aCode)
{
  state_->currentThread_.local()->refusals_[std::string(aCode)].Add(1);
}

MetricsSnapshot
Metrics::Collect() const
{
  MetricsSnapshot all;
  std::lock_guard lock(state_->mutex_);
  for (const auto& threadMetrics : state_->allThreads_) {
    for (const auto& [key, latencies] : threadMetrics->latencies_) {
      all.histograms_[key].Merge(
        accumulators::extract_result<LatencyFeature>(latencies));
    }
    for (const auto& [code, count] : threadMetrics->refusals_) {
      all.refusals_[code] += count.Get();
    }
    for (std::size_t i = 0; i < kCounterCount; ++i) {
      all.counters_[i] += threadMetrics->counters_[i].Get();
    }
  }
  return all;
}

} // namespace tanagerstall
