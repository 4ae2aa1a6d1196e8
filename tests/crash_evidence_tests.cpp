// When the crashes at which a prompt part was present show that it crashes
// replicas.
#define BOOST_TEST_MODULE crash_evidence
#include "tanagerstall/request/tanagerstall_crash_evidence.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <vector>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

struct EvidenceCase
{
  const char* name_;
  CrashEvidence evidence_;
  bool isConvincing_;
};

std::ostream&
operator<<(std::ostream& aOut, const EvidenceCase& aCase)
{
  return aOut << aCase.name_;
}

/// A part that was lost each time among many that were answered.
CrashEvidence
AmongAnswered()
{
  CrashEvidence evidence;
  evidence.crashes_ = 4;
  evidence.allCrashes_ = 4;
  evidence.replicas_ = 4;
  evidence.replicaLosses_ = 4;
  evidence.allReplicaLosses_ = 4;
  evidence.requests_ = 4;
  evidence.lost_ = 20;
  evidence.answered_ = 200;
  evidence.answeredEver_ = 5000;
  evidence.wasAnswered_ = true;
  evidence.isFirst_ = true;
  return evidence;
}

/// A part that appeared when all replicas went down.
CrashEvidence
AmongLost()
{
  CrashEvidence evidence;
  evidence.crashes_ = 6;
  evidence.allCrashes_ = 6;
  evidence.replicas_ = 18;
  evidence.replicaLosses_ = 18;
  evidence.allReplicaLosses_ = 18;
  evidence.requests_ = 30;
  evidence.lost_ = 200;
  evidence.answered_ = 10;
  evidence.answeredEver_ = 1000;
  return evidence;
}

template<class Change>
CrashEvidence
With(CrashEvidence aEvidence, Change aChange)
{
  aChange(aEvidence);
  return aEvidence;
}

/// A request that was lost whenever one of a few replicas was.
CrashEvidence
AsRequest(std::size_t aLosses, std::uint64_t aCrashes, std::size_t aOthers)
{
  CrashEvidence evidence;
  evidence.crashes_ = aCrashes;
  evidence.allCrashes_ = aCrashes;
  evidence.replicas_ = 3;
  evidence.replicaLosses_ = aLosses;
  evidence.allReplicaLosses_ = aLosses;
  evidence.requests_ = aLosses;
  evidence.lost_ = 12;
  evidence.answered_ = 10;
  evidence.answeredEver_ = 400;
  evidence.parts_ = 8;
  evidence.isFirst_ = true;
  evidence.isWholeRequest_ = true;
  evidence.otherReplicaLosses_ = aOthers;
  return evidence;
}

const std::vector<EvidenceCase> kCases = {
  { "no crash", {}, false },
  { "lost each time among many answered", AmongAnswered(), true },
  { "at one replica only",
    With(AmongAnswered(), [](auto& aIt) { aIt.replicas_ = 1; }),
    false },
  { "most others lost too",
    With(AmongAnswered(), [](auto& aIt) { aIt.answered_ = 3; }),
    false },
  { "appeared when all replicas went down", AmongLost(), true },
  { "answered earlier",
    With(AmongLost(), [](auto& aIt) { aIt.wasAnswered_ = true; }),
    false },
  { "missing at a fifth of the losses",
    With(AmongLost(), [](auto& aIt) { aIt.replicaLosses_ = 14; }),
    false },
  { "three failure domains lost",
    With(AmongLost(),
         [](auto& aIt) {
           aIt.crashes_ = 3;
           aIt.allCrashes_ = 3;
         }),
    false },
  { "too few replicas",
    With(AmongLost(),
         [](auto& aIt) {
           aIt.replicaLosses_ = 6;
           aIt.allReplicaLosses_ = 6;
         }),
    false },
  { "hardly any request before",
    With(AmongLost(), [](auto& aIt) { aIt.answeredEver_ = 20; }),
    false },
  { "too rare to have been answered before",
    With(AmongLost(), [](auto& aIt) { aIt.requests_ = 1; }),
    false },
  { "the only request at three losses", AsRequest(3, 2, 2), true },
  { "the only request, one moment", AsRequest(3, 1, 2), false },
  { "the only request, two losses", AsRequest(2, 2, 1), false },
  { "one of two requests at three losses", AsRequest(3, 3, 3), false },
  { "one of two requests at five losses", AsRequest(5, 3, 5), true },
  { "a request that was answered earlier",
    With(AsRequest(6, 6, 2), [](auto& aIt) { aIt.wasAnswered_ = true; }),
    false },
  { "a request that was answered earlier, among many answers",
    With(AsRequest(6, 6, 2),
         [](auto& aIt) {
           aIt.wasAnswered_ = true;
           aIt.answered_ = 2000;
         }),
    true },
  { "a request lost twice among many answers",
    With(AsRequest(2, 2, 1), [](auto& aIt) { aIt.answered_ = 100000; }),
    false },
};

} // namespace

// Guards against parts that are suspected by chance, or never found.
BOOST_TEST_DECORATOR(*boost::unit_test::label("prompt crash"))
BOOST_DATA_TEST_CASE(Only_what_chance_cannot_explain_convinces,
                     data::make(kCases),
                     row)
{
  BOOST_TEST(IsConvincing(row.evidence_) == row.isConvincing_);
}
