// Guards against exceeding an organisation's limit over all entries, which may
// come about by lost answers, partitions and changes of the leader.
#define BOOST_TEST_MODULE quota_leases
#include "tanagerstall/process/tanagerstall_quota_leases.hpp"

#include <array>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <random>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::uint32_t kLimit = 10;
constexpr std::size_t kEntries = 4;
constexpr Duration kStep = 50ms;
const std::string kOrganisation = "booths";

/// A rule that a scenario breaks on purpose, to show that the check notices it.
enum class Violation
{
  None,
  /// A new leader grants shares at once.
  GrantsAtOnce,
  /// An entry uses a share for twice its time.
  UsesExpiredShare
};

struct QuotaCase
{
  const char* name_;
  std::uint32_t seed_;
  unsigned lostPercent_;
  Duration partitionPeriod_;
  Duration leaderChangePeriod_;
};

std::ostream&
operator<<(std::ostream& aOut, const QuotaCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<QuotaCase> kCases{
  { "steady", 1, 0, 1h, 1h },
  { "loss", 2, 30, 1h, 1h },
  { "partitions", 3, 5, 7s, 1h },
  { "leader changes", 4, 5, 1h, 8s },
  { "partitions and leader changes", 5, 20, 5s, 9s },
};

/// Simulates entries that request shares and admit short requests at random.
struct QuotaScenario
{
  explicit QuotaScenario(const QuotaCase& aCase,
                         Violation aViolation = Violation::None)
    : case_(aCase)
    , violation_(aViolation)
    , random_(aCase.seed_)
  {
    leases_.StartLeading(now_ - kQuotaLease);
  }

  bool IsPartitioned(std::size_t aEntry) const
  {
    bool isPartitionTime =
      (now_ - start_) % case_.partitionPeriod_ > case_.partitionPeriod_ / 2;
    return aEntry == 0 && isPartitionTime;
  }

  void RequestShares(std::size_t aEntry)
  {
    if (IsPartitioned(aEntry)) {
      return;
    }
    auto& shares = entries_[aEntry];
    for (const auto& request :
         shares.Requests("entry-" + std::to_string(aEntry), now_)) {
      auto share = leases_.Lease(request, now_);
      bool isLost = random_() % 100 < case_.lostPercent_;
      auto requestedAt =
        violation_ == Violation::UsesExpiredShare ? now_ + kQuotaUseTime : now_;
      if (share && !isLost) {
        shares.ApplyShare(request.organisation_, *share, requestedAt);
      }
    }
  }

  void Step()
  {
    now_ += kStep;
    if ((now_ - start_) % case_.leaderChangePeriod_ == Duration::zero()) {
      leases_ = {};
      leases_.StartLeading(
        violation_ == Violation::GrantsAtOnce ? now_ - kQuotaLease : now_);
    }
    for (std::size_t i = 0; i < kEntries; ++i) {
      // A request lasts for one step, since the test is about admission only.
      for (; running_[i] > 0; --running_[i]) {
        entries_[i].Finish(kOrganisation);
      }
      if (random_() % 5 == 0) {
        RequestShares(i);
      }
      auto wanted = random_() % 12;
      for (std::uint32_t n = 0; n < wanted; ++n) {
        running_[i] += entries_[i].Admit(kOrganisation, kLimit, now_) ? 1 : 0;
      }
    }
  }

  /// Simulates ten minutes and returns the most requests that ran at once.
  std::uint32_t MaxConcurrentRequests()
  {
    std::uint32_t most = 0;
    for (int i = 0; i < 12'000; ++i) {
      Step();
      auto sum = std::accumulate(running_.begin(), running_.end(), 0U);
      most = std::max(most, sum);
      total_ += sum;
    }
    return most;
  }

  QuotaCase case_;
  Violation violation_;
  std::mt19937 random_;
  TimePoint start_{ 1h };
  TimePoint now_ = start_;
  QuotaLeases leases_;
  std::array<QuotaShares, kEntries> entries_;
  std::array<std::uint32_t, kEntries> running_{};
  std::uint64_t total_ = 0;
};

} // namespace

BOOST_DATA_TEST_CASE(The_limit_holds_over_all_entries,
                     data::make(kCases),
                     aCase)
{
  QuotaScenario scenario(aCase);
  auto most = scenario.MaxConcurrentRequests();
  BOOST_TEST(most <= kLimit);
  BOOST_TEST(scenario.total_ > 0U);
}

BOOST_AUTO_TEST_CASE(Most_of_the_limit_can_be_used,
                     *boost::unit_test::label("quota"))
{
  QuotaScenario scenario(kCases.front());
  scenario.MaxConcurrentRequests();
  BOOST_TEST(scenario.total_ > 12'000U * kLimit / 2);
}

BOOST_AUTO_TEST_CASE(Granting_before_earlier_shares_expire_exceeds_the_limit,
                     *boost::unit_test::label("quota"))
{
  BOOST_TEST(
    QuotaScenario(kCases[3], Violation::GrantsAtOnce).MaxConcurrentRequests() >
    kLimit);
}

BOOST_AUTO_TEST_CASE(Using_an_expired_share_exceeds_the_limit,
                     *boost::unit_test::label("quota"))
{
  BOOST_TEST(QuotaScenario(kCases[2], Violation::UsesExpiredShare)
               .MaxConcurrentRequests() > kLimit);
}

BOOST_AUTO_TEST_CASE(A_share_shrinks_when_another_entry_requests_one,
                     *boost::unit_test::label("quota"))
{
  QuotaLeases leases;
  TimePoint now{ 1h };
  leases.StartLeading(now - kQuotaLease);
  ShareRequest first{ "a", kOrganisation, kLimit, 10, 2 };
  ShareRequest second{ "b", kOrganisation, kLimit, 10, 0 };
  BOOST_TEST(leases.Lease(first, now).value() == 10U);
  BOOST_TEST(leases.Lease(second, now).value() == 0U);
  BOOST_TEST(leases.Lease(first, now + 1s).value() == 5U);
  BOOST_TEST(leases.Lease(second, now + 2s).value() == 0U);
  BOOST_TEST(leases.Lease(second, now + kQuotaLease).value() == 5U);
}

BOOST_AUTO_TEST_CASE(A_member_grants_shares_only_while_it_leads,
                     *boost::unit_test::label("quota"))
{
  QuotaLeases leases;
  TimePoint now{ 1h };
  ShareRequest request{ "a", kOrganisation, kLimit, 1, 0 };
  BOOST_TEST(!leases.Lease(request, now).has_value());
  leases.StartLeading(now);
  BOOST_TEST(!leases.Lease(request, now + kQuotaLease - 1ms).has_value());
  BOOST_TEST(leases.Lease(request, now + kQuotaLease).value() == 1U);
  leases.StopLeading();
  BOOST_TEST(!leases.Lease(request, now + kQuotaLease).has_value());
}
