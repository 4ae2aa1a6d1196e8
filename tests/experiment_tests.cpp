// Tests that the experiment is deterministic and counts every request, and
// tests the model of an upstream.
#define BOOST_TEST_MODULE experiment
#include "tanagerstall/process/experiment/tanagerstall_experiment_report.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

ExperimentCase
ShortCase(std::size_t aScenario, std::uint64_t aSeed)
{
  ExperimentCase experimentCase{
    ExperimentMixes().front(), ExperimentScenarios().at(aScenario), "ours", {}
  };
  experimentCase.seed_ = aSeed;
  experimentCase.length_ = std::chrono::seconds(60);
  return experimentCase;
}

ModelUpstream
MakeModel(std::uint32_t aCapacity)
{
  UpstreamInfo info;
  info.capacity_ = aCapacity;
  return ModelUpstream(info, {});
}

ModelJob
MakeJob(std::uint64_t aId, int aPriority)
{
  ModelJob job;
  job.id_ = aId;
  job.promptTokens_ = 40;
  job.tokensToWrite_ = 5;
  job.priority_ = aPriority;
  return job;
}

/// Runs a model for 10 s and returns its finished jobs in order of completion.
std::vector<std::uint64_t>
RunToEnd(ModelUpstream aModel)
{
  std::vector<std::uint64_t> ended;
  TimePoint now{ std::chrono::hours(1) };
  constexpr std::chrono::milliseconds kStep{ 10 };
  for (int i = 0; i < 1000; ++i, now += kStep) {
    for (const auto& progress : aModel.Run(now, kStep, 1)) {
      if (progress.isFinished_) {
        ended.push_back(progress.job_);
      }
    }
  }
  return ended;
}

} // namespace

BOOST_TEST_DECORATOR(*boost::unit_test::label("experiment"))
BOOST_DATA_TEST_CASE(Equal_seeds_give_equal_results,
                     data::xrange(ExperimentScenarios().size()),
                     scenario)
{
  auto first = ExperimentJson({ RunExperiment(ShortCase(scenario, 7)) });
  auto second = ExperimentJson({ RunExperiment(ShortCase(scenario, 7)) });
  auto other = ExperimentJson({ RunExperiment(ShortCase(scenario, 8)) });
  BOOST_TEST(first == second);
  BOOST_TEST(first != other);
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("experiment"))
BOOST_DATA_TEST_CASE(Every_request_is_counted_once,
                     data::xrange(ExperimentScenarios().size()),
                     scenario)
{
  auto result = RunExperiment(ShortCase(scenario, 3));
  BOOST_TEST(result.requests_ > 50U);
  BOOST_TEST(result.requests_ ==
             result.answered_ + result.refused_ + result.expired_);
  BOOST_TEST(result.withinTarget_ <= result.answered_);
}

BOOST_AUTO_TEST_CASE(Waiting_jobs_start_in_order_of_priority,
                     *boost::unit_test::label("experiment"))
{
  auto model = MakeModel(1);
  model.Add(MakeJob(1, 1));
  model.Add(MakeJob(2, 1));
  model.Add(MakeJob(3, 0));
  std::vector<std::uint64_t> expected{ 3, 1, 2 };
  BOOST_TEST(RunToEnd(model) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(A_cached_prefix_is_not_read_again,
                     *boost::unit_test::label("experiment"))
{
  auto model = MakeModel(1);
  for (std::uint64_t i = 1; i <= 2; ++i) {
    auto job = MakeJob(i, 0);
    job.prefixHash_ = 9;
    job.prefixTokens_ = 30;
    model.Add(job);
  }
  TimePoint now{ std::chrono::hours(1) };
  for (int i = 0; i < 100; ++i) {
    model.Run(now, std::chrono::milliseconds(10), 1);
  }
  BOOST_TEST(model.ReadTokens() == 50, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(Means_over_seeds_have_one_row_per_policy,
                     *boost::unit_test::label("experiment"))
{
  ExperimentResults results(3);
  results[0].policy_ = results[1].policy_ = "ours";
  results[0].refused_ = 2;
  results[1].refused_ = 4;
  results[2].policy_ = "random";
  auto means = MeanOverSeeds(results);
  BOOST_REQUIRE(means.size() == 2U);
  BOOST_TEST(means[0].refused_ == 3U);
}
