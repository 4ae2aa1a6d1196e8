#include "tanagerstall/process/experiment/tanagerstall_experiment_report.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iomanip>
#include <sstream>
#include <tuple>

namespace tanagerstall {

namespace json = boost::json;

namespace {

constexpr std::array<const char*, kWorkClasses> kClassNames{ "short",
                                                             "long",
                                                             "plain" };

json::object
ToJson(const FirstTokenTimes& aTimes)
{
  return { { "count", aTimes.count_ },
           { "p50_ms", aTimes.p50_.count() },
           { "p95_ms", aTimes.p95_.count() },
           { "p99_ms", aTimes.p99_.count() } };
}

json::object
ToJson(const ExperimentResult& aResult)
{
  json::object object{ { "mix", aResult.mix_ },
                       { "scenario", aResult.scenario_ },
                       { "policy", aResult.policy_ },
                       { "seed", aResult.seed_ },
                       { "requests", aResult.requests_ },
                       { "answered", aResult.answered_ },
                       { "within_target", aResult.withinTarget_ },
                       { "refused", aResult.refused_ },
                       { "expired", aResult.expired_ },
                       { "moves", aResult.moves_ },
                       { "read_tokens", aResult.readTokens_ },
                       { "recomputed_tokens", aResult.recomputedTokens_ },
                       { "link_bytes", aResult.linkBytes_ },
                       { "cost_euros", aResult.cost_ },
                       { "cost_per_thousand_in_target_euros",
                         aResult.CostPerThousand() } };
  for (std::size_t i = 0; i < kWorkClasses; ++i) {
    object[kClassNames[i]] = ToJson(aResult.firstToken_[i]);
  }
  object["small_organisations"] = ToJson(aResult.smallOrganisations_);
  return object;
}

void
Add(FirstTokenTimes& aSum, const FirstTokenTimes& aTimes)
{
  aSum.count_ += aTimes.count_;
  aSum.p50_ += aTimes.p50_;
  aSum.p95_ += aTimes.p95_;
  aSum.p99_ += aTimes.p99_;
}

void
Add(ExperimentResult& aSum, const ExperimentResult& aResult)
{
  for (std::size_t i = 0; i < kWorkClasses; ++i) {
    Add(aSum.firstToken_[i], aResult.firstToken_[i]);
  }
  Add(aSum.smallOrganisations_, aResult.smallOrganisations_);
  aSum.requests_ += aResult.requests_;
  aSum.answered_ += aResult.answered_;
  aSum.withinTarget_ += aResult.withinTarget_;
  aSum.refused_ += aResult.refused_;
  aSum.expired_ += aResult.expired_;
  aSum.moves_ += aResult.moves_;
  aSum.readTokens_ += aResult.readTokens_;
  aSum.recomputedTokens_ += aResult.recomputedTokens_;
  aSum.linkBytes_ += aResult.linkBytes_;
  aSum.cost_ += aResult.cost_;
}

void
Divide(FirstTokenTimes& aSum, std::uint64_t aCount)
{
  aSum.count_ /= aCount;
  auto count = static_cast<std::chrono::milliseconds::rep>(aCount);
  aSum.p50_ /= count;
  aSum.p95_ /= count;
  aSum.p99_ /= count;
}

void
Divide(ExperimentResult& aSum, std::uint64_t aCount)
{
  for (auto& times : aSum.firstToken_) {
    Divide(times, aCount);
  }
  Divide(aSum.smallOrganisations_, aCount);
  aSum.requests_ /= aCount;
  aSum.answered_ /= aCount;
  aSum.withinTarget_ /= aCount;
  aSum.refused_ /= aCount;
  aSum.expired_ /= aCount;
  aSum.moves_ /= aCount;
  aSum.readTokens_ /= aCount;
  aSum.recomputedTokens_ /= aCount;
  aSum.linkBytes_ /= aCount;
  aSum.cost_ /= static_cast<double>(aCount);
}

auto
KeyOf(const ExperimentResult& aResult)
{
  return std::tie(aResult.mix_, aResult.scenario_, aResult.policy_);
}

} // namespace

ExperimentResults
MeanOverSeeds(const ExperimentResults& aResults)
{
  ExperimentResults means;
  std::vector<std::uint64_t> counts;
  for (const auto& result : aResults) {
    auto it = std::find_if(means.begin(), means.end(), [&](const auto& aMean) {
      return KeyOf(aMean) == KeyOf(result);
    });
    if (it == means.end()) {
      means.push_back(result);
      counts.push_back(1);
    } else {
      Add(*it, result);
      ++counts[static_cast<std::size_t>(it - means.begin())];
    }
  }
  for (std::size_t i = 0; i < means.size(); ++i) {
    Divide(means[i], counts[i]);
    means[i].seed_ = 0;
  }
  return means;
}

std::string
ExperimentJson(const ExperimentResults& aResults)
{
  json::array results;
  for (const auto& result : aResults) {
    results.push_back(ToJson(result));
  }
  return json::serialize(json::object{ { "results", results } });
}

std::string
ExperimentTable(const ExperimentResults& aResults)
{
  std::ostringstream out;
  out << "| mix | scenario | policy | short p50/p95/p99 ms | long p50/p95/p99 "
         "ms | plain p99 ms | small organisations' p99 ms | in target % "
         "| refused | not whole | moves | "
         "read tokens/1000 | recomputed tokens | link MB | euros per 1000 in "
         "target |\n"
         "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"
      << std::fixed;
  for (const auto& mean : MeanOverSeeds(aResults)) {
    const auto& times = mean.firstToken_;
    out << "| " << mean.mix_ << " | " << mean.scenario_ << " | "
        << mean.policy_;
    for (std::size_t i = 0; i < 2; ++i) {
      out << " | " << times[i].p50_.count() << '/' << times[i].p95_.count()
          << '/' << times[i].p99_.count();
    }
    out << " | " << times[2].p99_.count() << " | "
        << mean.smallOrganisations_.p99_.count() << " | "
        << std::setprecision(1) << 100 * mean.ShareWithinTarget() << " | "
        << mean.refused_ << " | " << mean.expired_ << " | " << mean.moves_
        << " | " << mean.readTokens_ / 1000 << " | " << mean.recomputedTokens_
        << " | " << std::setprecision(1)
        << static_cast<double>(mean.linkBytes_) / 1e6 << " | "
        << std::setprecision(2) << mean.CostPerThousand() << " |\n";
  }
  return out.str();
}

} // namespace tanagerstall
