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

/// A time of a request that histograms show.
enum class Measure
{
  /// From arrival to the choice of an upstream.
  Waiting,
  FirstToken,
  BetweenTokens,
  Whole
};

/// What is counted over the life of the process.
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
/// Upper bounds of the buckets are 1 ms times powers of the square root of 2;
/// the last bucket has no bound.
constexpr std::size_t kLatencyBuckets = 42;

const char*
ToString(Measure aMeasure);
const char*
ToString(WorkClass aClass);
const char*
ToString(Counter aCounter);

/// The upper bound of a bucket; Duration::max() for the last.
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
  /// The bound of the bucket in which the share `aFraction` (0 to 1) ends, at
  /// most the longest time seen.
  Duration Quantile(double aFraction) const;
};

/// Everything counted so far, merged over the threads.
struct MetricsSnapshot
{
  using Key = std::tuple<std::string, WorkClass, Measure>;

  std::map<Key, LatencyHistogram> histograms_;
  std::array<std::uint64_t, kCounterCount> counters_{};
  std::map<std::string, std::uint64_t> refusals_;
};

/// Histograms and counters of a process. Observing takes no lock: each thread
/// writes its own cells, and Collect() merges them.
class Metrics
{
public:
  Metrics();
  ~Metrics();

  void Observe(std::string_view aOrganisation,
               WorkClass aClass,
               Measure aMeasure,
               Duration aTime);
  void Count(Counter aCounter, std::uint64_t aBy = 1);
  /// Counts a refusal by the code that the caller was given.
  void CountRefusal(std::string_view aCode);
  /// Safe from any thread, while others observe.
  MetricsSnapshot Collect() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
