#ifndef TANAGERSTALL_METRICS_HPP_INCLUDED
#define TANAGERSTALL_METRICS_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/process/tanagerstall_work_class.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

namespace tanagerstall {

/// A duration within a request that is recorded in a histogram.
enum class Measure
{
  /// From the arrival of a request to the choice of an upstream.
  Waiting,
  FirstToken,
  BetweenTokens,
  Whole
};

/// The counters of a process, which start at 0.
enum class Counter
{
  Requests,
  Retries,
  Hedges,
  Resumes,
  RecomputedTokens,
  Ejections,
  Drains,
  AnnouncementsTaken,
  AnnouncementsStale,
  AnnouncementsMalformed,
  AnnouncementsOfUnknownServices,
  PeerBytesSent,
  PeerBytesReceived,
  PeerPullsFailed
};

constexpr std::size_t kCounterCount = 14;
/// The upper bounds of the buckets are 1 ms times powers of the square root of
/// 2; the last bucket has no bound.
constexpr std::size_t kLatencyBuckets = 42;

const char*
ToString(Measure aMeasure);
const char*
ToString(WorkClass aClass);
const char*
ToString(Counter aCounter);

/// Returns the upper bound of a bucket; Duration::max() for the last one.
Duration
BucketBound(std::size_t aBucket);

/// The distribution of one measure.
struct LatencyHistogram
{
  std::array<std::uint64_t, kLatencyBuckets> buckets_{};
  std::uint64_t count_ = 0;
  Duration sum_{};
  Duration max_{};

  void Merge(const LatencyHistogram& aOther);
  /// Returns the `aFraction` quantile (0 to 1), rounded up to the bound of its
  /// bucket but not above the longest observed time.
  Duration Quantile(double aFraction) const;
};

/// The metrics of a process at one moment, merged over its threads.
struct MetricsSnapshot
{
  using Key = std::tuple<std::string, WorkClass, Measure>;

  std::map<Key, LatencyHistogram> histograms_;
  std::array<std::uint64_t, kCounterCount> counters_{};
  std::map<std::string, std::uint64_t> refusals_;
};

/// Histograms and counters of a process. Recording takes no lock, except for
/// the first time in each thread: each thread writes to its own metrics, which
/// Collect() merges.
class Metrics
{
public:
  Metrics();
  ~Metrics();

  /// Records a duration in the histogram of an organisation and class.
  void Observe(std::string_view aOrganisation,
               WorkClass aClass,
               Measure aMeasure,
               Duration aTime);
  void Count(Counter aCounter, std::uint64_t aBy = 1);
  /// Counts a refused request by the error code that its caller received.
  void CountRefusal(std::string_view aCode);
  /// May be called on any thread while others record.
  MetricsSnapshot Collect() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
