#include "tanagerstall/process/metrics/tanagerstall_metrics_page.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"

#include <boost/json.hpp>
#include <sstream>

namespace tanagerstall {

namespace json = boost::json;

namespace {

/// Escapes backslashes and quotes, which the Prometheus text format reserves,
/// and replaces line breaks by spaces.
std::string
EscapeLabelValue(const std::string& aText)
{
  std::string escaped;
  for (char letter : aText) {
    if (letter == '\\' || letter == '"') {
      escaped += '\\';
    }
    escaped += letter == '\n' ? ' ' : letter;
  }
  return escaped;
}

void
WriteHistogram(std::ostream& aOut,
               const MetricsSnapshot::Key& aKey,
               const LatencyHistogram& aHistogram)
{
  const auto& [organisation, workClass, measure] = aKey;
  std::string name =
    std::string("tanagerstall_") + ToString(measure) + "_seconds";
  std::string labels = "organisation=\"" + EscapeLabelValue(organisation) +
                       "\",class=\"" + ToString(workClass) + "\"";
  std::uint64_t total = 0;
  for (std::size_t i = 0; i + 1 < kLatencyBuckets; ++i) {
    total += aHistogram.buckets_[i];
    aOut << name << "_bucket{" << labels << ",le=\""
         << InSeconds(BucketBound(i)) << "\"} " << total << "\n";
  }
  aOut << name << "_bucket{" << labels << ",le=\"+Inf\"} " << aHistogram.count_
       << "\n"
       << name << "_sum{" << labels << "} " << InSeconds(aHistogram.sum_)
       << "\n"
       << name << "_count{" << labels << "} " << aHistogram.count_ << "\n";
}

std::string
WriteText(const MetricsSnapshot& aMetrics, const Gauges& aGauges)
{
  std::ostringstream out;
  for (const auto& [key, histogram] : aMetrics.histograms_) {
    WriteHistogram(out, key, histogram);
  }
  for (std::size_t i = 0; i < kCounterCount; ++i) {
    out << "tanagerstall_" << ToString(static_cast<Counter>(i)) << "_total "
        << aMetrics.counters_[i] << "\n";
  }
  for (const auto& [code, count] : aMetrics.refusals_) {
    out << "tanagerstall_refusals_total{reason=\"" << EscapeLabelValue(code)
        << "\"} " << count << "\n";
  }
  out << "tanagerstall_log_lines_left_out_total " << DroppedLogLines() << "\n";
  for (const auto& [name, value] : aGauges) {
    out << "tanagerstall_" << name << " " << value << "\n";
  }
  return out.str();
}

json::object
HistogramObject(const MetricsSnapshot::Key& aKey,
                const LatencyHistogram& aHistogram)
{
  const auto& [organisation, workClass, measure] = aKey;
  json::array buckets(aHistogram.buckets_.begin(), aHistogram.buckets_.end());
  return { { "organisation", organisation },
           { "class", ToString(workClass) },
           { "measure", ToString(measure) },
           { "count", aHistogram.count_ },
           { "sum_ms", InMilliseconds(aHistogram.sum_) },
           { "max_ms", InMilliseconds(aHistogram.max_) },
           { "buckets", buckets } };
}

std::string
WriteJson(const MetricsSnapshot& aMetrics, const Gauges& aGauges)
{
  json::array histograms;
  for (const auto& [key, histogram] : aMetrics.histograms_) {
    histograms.push_back(HistogramObject(key, histogram));
  }
  json::object counters;
  for (std::size_t i = 0; i < kCounterCount; ++i) {
    counters[ToString(static_cast<Counter>(i))] = aMetrics.counters_[i];
  }
  counters["log_lines_left_out"] = DroppedLogLines();
  json::object refusals;
  for (const auto& [code, count] : aMetrics.refusals_) {
    refusals[code] = count;
  }
  json::object gauges;
  for (const auto& [name, value] : aGauges) {
    gauges[name] = value;
  }
  return json::serialize(json::object{ { "histograms", histograms },
                                       { "counters", counters },
                                       { "refusals", refusals },
                                       { "gauges", gauges } });
}

} // namespace

void
AddClientGauges(Gauges& aGauges,
                const ClientLimits& aClients,
                std::size_t aConnections)
{
  const MemoryBudget& memory = *aClients.Memory();
  aGauges["connections"] = static_cast<double>(aConnections);
  aGauges["request_memory_bytes"] = static_cast<double>(memory.UsedBytes());
  aGauges["request_memory_limit_bytes"] =
    static_cast<double>(memory.MaxBytes());
  for (const auto& [reason, count] : aClients.Faults()) {
    aGauges["client_faults{reason=\"" + reason + "\"}"] =
      static_cast<double>(count);
  }
}

HttpResponse
MetricsResponse(const HttpRequest& aRequest,
                const MetricsSnapshot& aMetrics,
                const Gauges& aGauges)
{
  bool isJson = aRequest.Header("Accept").find("application/json") !=
                std::string_view::npos;
  if (isJson) {
    return JsonResponse(200, WriteJson(aMetrics, aGauges));
  }
  return { 200,
           { { "Content-Type", "text/plain; version=0.0.4" } },
           WriteText(aMetrics, aGauges) };
}

} // namespace tanagerstall
