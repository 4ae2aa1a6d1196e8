// The revision of the configuration in force at an entry never decreases.
#define BOOST_TEST_MODULE configuration_view
#include "tanagerstall/version/tanagerstall_configuration_store.hpp"
#include "tanagerstall/version/tanagerstall_configuration_view.hpp"
#include "tanagerstall/version/tanagerstall_record_codec.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <random>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

constexpr std::size_t kMembers = 3;
constexpr int kSteps = 600;

std::string
ServiceBody(const std::string& aName, int aWholeMs)
{
  return R"({"schema_version":2,"kind":"service","name":")" + aName +
         R"(","protocol":"plain","whole_ms":)" + std::to_string(aWholeMs) + "}";
}

RecordChange
Write(const std::string& aName, int aWholeMs)
{
  return { "service/" + aName,
           RecordChange::kAnyVersion,
           false,
           ServiceBody(aName, aWholeMs) };
}

/// A fault injected into the updates, which the simulation has to detect.
enum class InjectedFault
{
  None,
  /// An older revision replaces a newer one.
  RevisionRollback,
  /// Updates omit deleted records.
  MissingDeletes,
  /// A snapshot is applied as a delta, so that absent records are kept.
  SnapshotAsDelta,
  /// A restarted entry starts from the unconfirmed revision of any member.
  UnconfirmedStart
};

std::ostream&
operator<<(std::ostream& aOut, InjectedFault aFault)
{
  return aOut << static_cast<int>(aFault);
}

/// Simulates members that lag behind a log of commands, and an entry that
/// switches between them and restarts. Counts the violations of the view's
/// guarantees.
class Simulation
{
public:
  Simulation(std::uint64_t aSeed, InjectedFault aFault)
    : random_(aSeed)
    , fault_(aFault)
  {
    Commit();
    Restart();
  }

  int Run()
  {
    for (int i = 0; i < kSteps; ++i) {
      Step();
    }
    return violations_;
  }

private:
  int RandomBelow(int aCount)
  {
    return static_cast<int>(random_() % static_cast<unsigned>(aCount));
  }

  /// Commits a change and records the configuration expected at its revision.
  void Commit()
  {
    std::string name = "s" + std::to_string(RandomBelow(6));
    RecordChange change = Write(name, 1 + RandomBelow(1000));
    if (RandomBelow(3) == 0) {
      change = { "service/" + name, RecordChange::kAnyVersion, true, "" };
    }
    log_.push_back(Encode({ "", "", { change } }));
    newest_.AsStateMachine().apply_(log_.back());
    Configuration expected;
    for (const StoredRecord& record : newest_.ChangedAfter(0)) {
      if (!record.isDeleted_) {
        BOOST_REQUIRE(ApplyRecord(expected, { record.key_, record.body_ }));
      }
    }
    expected.revision_ = newest_.Revision();
    expected_[expected.revision_] = expected;
  }

  /// Applies up to three further log entries at one member.
  void CatchUp()
  {
    auto member = static_cast<std::size_t>(RandomBelow(kMembers));
    for (int i = RandomBelow(4); i > 0 && applied_[member] < log_.size(); --i) {
      members_[member].AsStateMachine().apply_(log_[applied_[member]++]);
    }
  }

  ConfigurationUpdate UpdateFrom(const ConfigurationStore& aStore)
  {
    ConfigurationUpdate update;
    bool isDelta = RandomBelow(2) == 0 && aStore.HasDeltaFrom(view_.Revision());
    update.revision_ = aStore.Revision();
    update.isSnapshot_ = !isDelta;
    update.after_ = isDelta ? view_.Revision() : 0;
    update.records_ = aStore.ChangedAfter(update.after_);
    if (update.isSnapshot_) {
      // A snapshot lacks the deleted records whose tombstones were pruned.
      std::erase_if(update.records_,
                    [](const auto& aRecord) { return aRecord.isDeleted_; });
    }
    return update;
  }

  void Restart()
  {
    view_ = ConfigurationView();
    acceptedAtStart_ = newest_.Revision();
    highest_ = 0;
    if (fault_ != InjectedFault::UnconfirmedStart) {
      ConfigurationUpdate update = UpdateFrom(newest_);
      update.isConfirmed_ = true;
      Apply(update);
    }
  }

  void ReceiveUpdate()
  {
    Apply(
      UpdateFrom(members_[static_cast<std::size_t>(RandomBelow(kMembers))]));
  }

  void Apply(ConfigurationUpdate aUpdate)
  {
    if (fault_ == InjectedFault::RevisionRollback &&
        aUpdate.revision_ < view_.Revision()) {
      view_ = ConfigurationView();
      aUpdate.isConfirmed_ = true;
    }
    if (fault_ == InjectedFault::UnconfirmedStart) {
      aUpdate.isConfirmed_ = true;
    }
    if (fault_ == InjectedFault::MissingDeletes) {
      std::erase_if(aUpdate.records_,
                    [](const auto& aRecord) { return aRecord.isDeleted_; });
    }
    if (fault_ == InjectedFault::SnapshotAsDelta && aUpdate.isSnapshot_) {
      aUpdate.isSnapshot_ = false;
      aUpdate.after_ = 0;
    }
    view_.Apply(aUpdate, TimePoint());
    Check();
  }

  void Check()
  {
    if (!view_.IsConfirmed()) {
      return;
    }
    std::uint64_t revision = view_.Revision();
    bool isRollback = revision < highest_ || revision < acceptedAtStart_;
    bool isMismatch = !(*view_.Current() == expected_[revision]);
    violations_ += (isRollback || isMismatch) ? 1 : 0;
    highest_ = std::max(highest_, revision);
  }

  void Step()
  {
    switch (RandomBelow(8)) {
      case 0:
      case 1:
        return Commit();
      case 2:
      case 3:
        return CatchUp();
      case 4:
        return RandomBelow(5) == 0 ? Restart() : ReceiveUpdate();
      default:
        return ReceiveUpdate();
    }
  }

  std::mt19937_64 random_;
  InjectedFault fault_;
  std::vector<Bytes> log_;
  ConfigurationStore newest_;
  ConfigurationStore members_[kMembers];
  std::size_t applied_[kMembers] = {};
  std::map<std::uint64_t, Configuration> expected_{ { 0, {} } };
  ConfigurationView view_;
  std::uint64_t acceptedAtStart_ = 0;
  std::uint64_t highest_ = 0;
  int violations_ = 0;
};

const InjectedFault kInjectedFaults[] = { InjectedFault::RevisionRollback,
                                          InjectedFault::MissingDeletes,
                                          InjectedFault::SnapshotAsDelta,
                                          InjectedFault::UnconfirmedStart };

ConfigurationUpdate
ConfirmedSnapshot(std::uint64_t aRevision, std::vector<StoredRecord> aRecords)
{
  ConfigurationUpdate update;
  update.revision_ = aRevision;
  update.isSnapshot_ = true;
  update.isConfirmed_ = true;
  update.records_ = std::move(aRecords);
  return update;
}

StoredRecord
Stored(const std::string& aName, std::uint64_t aRevision)
{
  auto body = ReadRecord(ServiceBody(aName, 1000)).value().body_;
  return { "service/" + aName, 1, aRevision, false, body, "" };
}

} // namespace

BOOST_AUTO_TEST_SUITE(view, *boost::unit_test::label("configuration"))

BOOST_DATA_TEST_CASE(The_revision_never_decreases_across_members_and_restarts,
                     data::xrange(40))
{
  BOOST_TEST(
    Simulation(static_cast<std::uint64_t>(sample), InjectedFault::None).Run() ==
    0);
}

BOOST_DATA_TEST_CASE(An_injected_fault_is_detected, data::make(kInjectedFaults))
{
  int caught = 0;
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    caught += Simulation(seed, sample).Run() > 0 ? 1 : 0;
  }
  BOOST_TEST(caught > 20);
}

BOOST_AUTO_TEST_CASE(An_older_update_does_not_renew_the_confirmation_time)
{
  PausedClock clock;
  ConfigurationView view;
  auto at = clock.Now();
  view.Apply(ConfirmedSnapshot(5, { Stored("a", 5) }), at);
  clock.Advance(std::chrono::seconds(1));
  auto behind = ConfirmedSnapshot(4, {});
  behind.isConfirmed_ = false;
  BOOST_TEST(
    (view.Apply(behind, clock.Now()) == ConfigurationView::Outcome::Ignored));
  BOOST_TEST((view.ConfirmedAt() == at));
  BOOST_TEST(view.Current()->services_.contains("a"));
}

BOOST_AUTO_TEST_CASE(A_heartbeat_without_changes_renews_the_confirmation_time)
{
  PausedClock clock;
  ConfigurationView view;
  view.Apply(ConfirmedSnapshot(5, { Stored("a", 5) }), clock.Now());
  auto before = view.Current();
  clock.Advance(std::chrono::seconds(1));
  ConfigurationUpdate heartbeat;
  heartbeat.revision_ = 5;
  heartbeat.after_ = 5;
  BOOST_TEST((view.Apply(heartbeat, clock.Now()) ==
              ConfigurationView::Outcome::Unchanged));
  BOOST_TEST((view.ConfirmedAt() == clock.Now()));
  BOOST_TEST((view.Current() == before));
}

BOOST_AUTO_TEST_CASE(An_unreadable_record_keeps_the_previous_version)
{
  int errors = 0;
  ConfigurationView view([&](const RecordError& /*aError*/) { ++errors; });
  view.Apply(ConfirmedSnapshot(5, { Stored("a", 5) }), TimePoint());
  StoredRecord newer = Stored("a", 6);
  newer.body_ = R"({"schema_version":9})";
  view.Apply(ConfirmedSnapshot(6, { newer }), TimePoint());
  BOOST_TEST(errors == 1);
  BOOST_TEST(view.Revision() == 6);
  BOOST_TEST(view.Current()->services_.contains("a"));
}

BOOST_AUTO_TEST_SUITE_END()
