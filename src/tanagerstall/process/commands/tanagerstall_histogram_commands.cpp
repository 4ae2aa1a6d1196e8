#include "tanagerstall/process/commands/tanagerstall_operator_command.hpp"
#include "tanagerstall/process/metrics/tanagerstall_metrics.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <iomanip>
#include <iostream>

namespace tanagerstall {

namespace json = boost::json;

namespace {

constexpr int kBarWidth = 50;

/// Organisation, work class and measure.
using HistogramKey = std::array<std::string, 3>;

/// Sums of all entries' histograms and refusal counts.
struct MergedMetrics
{
  std::map<HistogramKey, LatencyHistogram> histograms_;
  std::map<std::string, std::uint64_t> refusals_;
};

Duration
FromMilliseconds(const json::value& aValue)
{
  std::chrono::duration<double, std::milli> time(aValue.to_number<double>());
  return std::chrono::duration_cast<Duration>(time);
}

LatencyHistogram
ReadHistogram(const json::object& aFrom)
{
  LatencyHistogram histogram;
  const auto& buckets = aFrom.at("buckets").as_array();
  auto count = std::min(buckets.size(), kLatencyBuckets);
  for (std::size_t i = 0; i < count; ++i) {
    histogram.buckets_[i] = buckets[i].to_number<std::uint64_t>();
  }
  histogram.count_ = aFrom.at("count").to_number<std::uint64_t>();
  histogram.sum_ = FromMilliseconds(aFrom.at("sum_ms"));
  histogram.max_ = FromMilliseconds(aFrom.at("max_ms"));
  return histogram;
}

void
MergePage(MergedMetrics& aMerged, const std::string& aPage)
{
  auto page = json::parse(aPage).as_object();
  for (const auto& item : page.at("histograms").as_array()) {
    const auto& object = item.as_object();
    auto text = [&](const char* aName) {
      return json::value_to<std::string>(object.at(aName));
    };
    HistogramKey key{ text("organisation"), text("class"), text("measure") };
    aMerged.histograms_[key].Merge(ReadHistogram(object));
  }
  for (const auto& item : page.at("refusals").as_object()) {
    aMerged.refusals_[std::string(item.key())] +=
      item.value().to_number<std::uint64_t>();
  }
}

void
PrintBars(const LatencyHistogram& aHistogram)
{
  auto maxCount =
    *std::max_element(aHistogram.buckets_.begin(), aHistogram.buckets_.end());
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    auto count = aHistogram.buckets_[i];
    if (count == 0) {
      continue;
    }
    auto width = std::max<std::uint64_t>(1, count * kBarWidth / maxCount);
    Duration bound = std::min(BucketBound(i), aHistogram.max_);
    std::cout << "  <= " << std::setw(9) << InMilliseconds(bound) << " ms "
              << std::setw(8) << count << " " << std::string(width, '#')
              << "\n";
  }
}

void
Print(const MergedMetrics& aMerged)
{
  std::cout << std::fixed << std::setprecision(1);
  for (const auto& [key, histogram] : aMerged.histograms_) {
    std::cout << key[0] << ", " << key[1] << ", " << key[2] << ": "
              << histogram.count_ << " times";
    for (auto [name, share] :
         { std::pair("p50", 0.5), { "p95", 0.95 }, { "p99", 0.99 } }) {
      std::cout << ", " << name << " "
                << InMilliseconds(histogram.Quantile(share)) << " ms";
    }
    std::cout << ", longest " << InMilliseconds(histogram.max_) << " ms\n";
    PrintBars(histogram);
  }
  for (const auto& [code, count] : aMerged.refusals_) {
    std::cout << "refused, " << code << ": " << count << "\n";
  }
}

int
PrintHistograms(const CommandContext& aContext)
{
  MergedMetrics merged;
  int status = ExitDone;
  auto answers = aContext.callEach_(
    { "GET", "/metrics", { { "Accept", "application/json" } }, "" });
  for (const auto& [address, answer] : answers) {
    if (answer && answer->status_ == 200) {
      MergePage(merged, answer->body_);
    } else {
      std::cerr << "error: no metrics from " << address.ToString() << "\n";
      status = ExitUnreachable;
    }
  }
  Print(merged);
  return status;
}

} // namespace

std::vector<OperatorCommand>
HistogramCommands()
{
  return { { "histogram",
             "histogram --entries IP:port[,IP:port...]",
             nullptr,
             PrintHistograms,
             "entries" } };
}

} // namespace tanagerstall
