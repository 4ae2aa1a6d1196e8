// Tests the metrics that are merged over threads, and the page that shows them.
#define BOOST_TEST_MODULE metrics
#include "tanagerstall/process/metrics/tanagerstall_metrics.hpp"
#include "tanagerstall/process/metrics/tanagerstall_metrics_page.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

BOOST_TEST_DONT_PRINT_LOG_VALUE(std::chrono::milliseconds)

BOOST_AUTO_TEST_CASE(Observations_of_all_threads_are_merged,
                     *boost::unit_test::label("metrics"))
{
  Metrics metrics;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < 10'000; ++n) {
        metrics.Observe("booths", WorkClass::Short, Measure::FirstToken, 3ms);
        metrics.Count(Counter::Retries);
        metrics.CountRefusal("overloaded");
      }
    });
  }
  metrics.Collect();
  for (auto& thread : threads) {
    thread.join();
  }
  auto all = metrics.Collect();
  const auto& histogram =
    all.histograms_.at({ "booths", WorkClass::Short, Measure::FirstToken });
  BOOST_TEST(histogram.count_ == 40'000U);
  BOOST_TEST((histogram.sum_ == 120s));
  BOOST_TEST(all.counters_[static_cast<std::size_t>(Counter::Retries)] ==
             40'000U);
  BOOST_TEST(all.refusals_.at("overloaded") == 40'000U);
}

BOOST_DATA_TEST_CASE(A_quantile_is_at_most_a_bucket_above_the_value,
                     data::make({ 1ms, 10ms, 71ms, 640ms, 90'000ms }),
                     aTime)
{
  Metrics metrics;
  for (int n = 0; n < 100; ++n) {
    metrics.Observe("rectors", WorkClass::Long, Measure::Whole, aTime);
  }
  metrics.Observe("rectors", WorkClass::Long, Measure::Whole, 2h);
  auto all = metrics.Collect();
  auto median = all.histograms_.begin()->second.Quantile(0.5);
  BOOST_TEST((median >= aTime));
  BOOST_TEST((median <= aTime * 3 / 2));
  BOOST_TEST((all.histograms_.begin()->second.Quantile(1.0) == 2h));
}

BOOST_AUTO_TEST_CASE(The_page_shows_cumulative_buckets_and_escaped_labels,
                     *boost::unit_test::label("metrics"))
{
  Metrics metrics;
  metrics.Observe("a\"b", WorkClass::Plain, Measure::Waiting, 1ms);
  auto page = MetricsResponse({}, metrics.Collect(), { { "upstreams", 3 } });
  auto has = [&](const char* aText) {
    return page.body_.find(aText) != std::string::npos;
  };
  BOOST_TEST(has("tanagerstall_waiting_seconds_bucket{organisation=\"a\\\"b\","
                 "class=\"plain\",le=\"+Inf\"} 1\n"));
  BOOST_TEST(has("tanagerstall_upstreams 3\n"));
  BOOST_TEST(has("tanagerstall_retries_total 0\n"));
}
