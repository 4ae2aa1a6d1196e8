// What the responses of replicas say of the replicas, and how long that holds.
#define BOOST_TEST_MODULE replica_notice
#include "tanagerstall/request/tanagerstall_requested_backoff.hpp"
#include "tanagerstall_platform_notice.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct HeaderCase
{
  const char* name_;
  int status_;
  std::vector<HttpHeader> headers_;
  bool isLeaving_;
  Duration backoff_;
};

std::ostream&
operator<<(std::ostream& aOut, const HeaderCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<HeaderCase> kHeaders{
  { "nothing", 503, {}, false, 0s },
  { "leaving", 200, { { "Server-Leaving", "1" } }, true, 0s },
  { "not leaving", 200, { { "server-leaving", "0" } }, false, 0s },
  { "leaving, not readable", 200, { { "Server-Leaving", "yes" } }, false, 0s },
  { "leaving, two that differ",
    200,
    { { "Server-Leaving", "0" }, { "Server-Leaving", "1" } },
    true,
    0s },
  { "back-off", 503, { { "Retry-After", "2" } }, false, 2s },
  { "back-off with a fraction",
    503,
    { { "retry-after", "0.25" } },
    false,
    250ms },
  { "back-off and leaving",
    503,
    { { "Retry-After", "2" }, { "Server-Leaving", "1" } },
    true,
    2s },
  { "back-off with another status",
    429,
    { { "Retry-After", "2" } },
    false,
    0s },
  { "negative", 503, { { "Retry-After", "-1" } }, false, 0s },
  { "a date",
    503,
    { { "Retry-After", "Sat, 05 Dec 2026 10:00:00 GMT" } },
    false,
    0s },
  { "text", 503, { { "Retry-After", "soon" } }, false, 0s },
  { "empty", 503, { { "Retry-After", "" } }, false, 0s },
  { "a number and text", 503, { { "Retry-After", "2 s" } }, false, 0s },
  { "infinite", 503, { { "Retry-After", "inf" } }, false, 0s },
  { "not a number", 503, { { "Retry-After", "nan" } }, false, 0s },
  { "very long",
    503,
    { { "Retry-After", "1000000000000" } },
    false,
    platform::kMaxReplicaBackoff },
  { "two that differ",
    503,
    { { "Retry-After", "3" }, { "Retry-After", "1" } },
    false,
    3s },
  { "one of two not readable",
    503,
    { { "Retry-After", "x" }, { "Retry-After", "1" } },
    false,
    1s },
};

} // namespace

BOOST_DATA_TEST_CASE(Header_fields_are_read_with_bounds,
                     data::make(kHeaders),
                     row)
{
  HttpResponse response;
  response.status_ = row.status_;
  response.headers_ = row.headers_;
  ReplicaNotice notice = platform::ReadReplicaNotice(response);
  BOOST_TEST(notice.isLeaving_ == row.isLeaving_);
  BOOST_TEST((notice.backoff_ == row.backoff_));
}

namespace {

struct RateHeaderCase
{
  const char* name_;
  int status_;
  std::vector<HttpHeader> headers_;
  std::optional<double> perSecond_;
  bool isUnreadable_;
};

std::ostream&
operator<<(std::ostream& aOut, const RateHeaderCase& aCase)
{
  return aOut << aCase.name_;
}

const std::vector<RateHeaderCase> kRateHeaders{
  { "nothing", 200, {}, std::nullopt, false },
  { "a success", 200, { { "Server-Limit", "4.4" } }, 4.4, false },
  { "a refusal", 503, { { "server-limit", "30" } }, 30.0, false },
  { "zero", 200, { { "Server-Limit", "0" } }, 0.0, false },
  { "negative", 200, { { "Server-Limit", "-1" } }, std::nullopt, true },
  { "text", 200, { { "Server-Limit", "few" } }, std::nullopt, true },
  { "empty", 200, { { "Server-Limit", "" } }, std::nullopt, true },
  { "infinite", 200, { { "Server-Limit", "inf" } }, std::nullopt, true },
  { "very high",
    200,
    { { "Server-Limit", "1000000000000" } },
    platform::kMaxReplicaRate,
    false },
  { "two that differ",
    200,
    { { "Server-Limit", "5" }, { "Server-Limit", "3" } },
    3.0,
    false },
  { "one of two not readable",
    200,
    { { "Server-Limit", "5" }, { "Server-Limit", "x" } },
    5.0,
    false },
};

} // namespace

BOOST_DATA_TEST_CASE(A_rate_is_read_with_bounds, data::make(kRateHeaders), row)
{
  HttpResponse response;
  response.status_ = row.status_;
  response.headers_ = row.headers_;
  ReplicaNotice notice = platform::ReadReplicaNotice(response);
  BOOST_TEST((notice.ratePerSecond_ == row.perSecond_));
  BOOST_TEST(notice.isRateUnreadable_ == row.isUnreadable_);
  BOOST_TEST(notice.IsEmpty());
}

namespace {

const TimePoint kStart{ 1h };

Replica
MakeReplica(std::uint64_t aStartTimeMs = 5)
{
  Replica replica;
  replica.id_ = "r";
  replica.startTimeMs_ = aStartTimeMs;
  return replica;
}

constexpr ReplicaNotice kLeaves{ true, 0s, std::nullopt, false };

ReplicaNotice
BackOff(Duration aTime)
{
  return { false, aTime, std::nullopt, false };
}

} // namespace

BOOST_AUTO_TEST_CASE(A_replica_that_leaves_is_not_used_again)
{
  RequestedBackoff backoff;
  BOOST_TEST(backoff.Record(MakeReplica(), kLeaves, kStart));
  BOOST_TEST(!backoff.Record(MakeReplica(), kLeaves, kStart + 1s));
  BOOST_TEST((backoff.AvailabilityOf(MakeReplica(), kStart + 24h) ==
              ReplicaAvailability::Leaving));
}

BOOST_AUTO_TEST_CASE(A_mark_belongs_to_one_incarnation)
{
  RequestedBackoff backoff;
  backoff.Record(MakeReplica(5), kLeaves, kStart);
  BOOST_TEST((backoff.AvailabilityOf(MakeReplica(6), kStart) ==
              ReplicaAvailability::Open));
  backoff.Record(MakeReplica(6), BackOff(2s), kStart);
  // A delayed announcement names the earlier incarnation.
  BOOST_TEST((backoff.AvailabilityOf(MakeReplica(5), kStart) ==
              ReplicaAvailability::Leaving));
  BOOST_TEST((backoff.AvailabilityOf(MakeReplica(6), kStart) ==
              ReplicaAvailability::BackingOff));
}

BOOST_AUTO_TEST_CASE(A_back_off_is_lengthened_but_never_shortened)
{
  RequestedBackoff backoff;
  BOOST_TEST(backoff.Record(MakeReplica(), BackOff(2s), kStart));
  BOOST_TEST(!backoff.Record(MakeReplica(), BackOff(500ms), kStart + 1s));
  BOOST_TEST((backoff.BackoffEnd(MakeReplica()) == kStart + 2s));
  BOOST_TEST(backoff.Record(MakeReplica(), BackOff(2s), kStart + 1s));
  BOOST_TEST((backoff.BackoffEnd(MakeReplica()) == kStart + 3s));
}

BOOST_AUTO_TEST_CASE(A_replica_returns_step_by_step)
{
  RequestedBackoff backoff;
  backoff.Record(MakeReplica(), BackOff(2s), kStart);
  auto at = [&](Duration aTime) {
    return backoff.AvailabilityOf(MakeReplica(), kStart + aTime);
  };
  BOOST_TEST((at(1999ms) == ReplicaAvailability::BackingOff));
  BOOST_TEST((at(2s) == ReplicaAvailability::Returning));
  BOOST_TEST(
    (at(2s + RequestedBackoff::kReturnTime) == ReplicaAvailability::Open));
}

BOOST_AUTO_TEST_CASE(The_number_of_marks_is_bounded)
{
  constexpr int kMany = 20000;
  RequestedBackoff backoff;
  Replica replica = MakeReplica();
  for (int i = 0; i < kMany; ++i) {
    replica.id_ = "r" + std::to_string(i);
    backoff.Record(replica, kLeaves, kStart + 1ms * i);
  }
  BOOST_TEST(
    (backoff.AvailabilityOf(replica, kStart) == ReplicaAvailability::Leaving));
  replica.id_ = "r0";
  BOOST_TEST(
    (backoff.AvailabilityOf(replica, kStart) == ReplicaAvailability::Open));
}
