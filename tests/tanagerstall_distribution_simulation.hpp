#ifndef TANAGERSTALL_DISTRIBUTION_SIMULATION_HPP_INCLUDED
#define TANAGERSTALL_DISTRIBUTION_SIMULATION_HPP_INCLUDED

#include "tanagerstall_event_queue.hpp"

#include "tanagerstall/connection/tanagerstall_encoded_changes.hpp"
#include "tanagerstall/connection/tanagerstall_fleet_codec.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_batches.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_table.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica_view.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace tanagerstall {

/// The sizes and the load of a simulated fleet.
struct DistributionFleet
{
  std::uint32_t entries_ = 0;
  std::uint32_t replicas_ = 0;
  std::uint32_t controls_ = 9;
  /// Replicas replaced by new ones in a second.
  double churnPerSecond_ = 1.0;
  /// The part of the replicas that have just started and announce a remaining
  /// warm-up time, which falls with each announcement.
  double warmingPart_ = 0.3;
};

/// Payload and messages that one process sends and receives.
struct Traffic
{
  std::size_t bytes_ = 0;
  std::size_t messages_ = 0;
  std::size_t answers_ = 0;
  /// Changes of replicas in these answers.
  std::size_t changes_ = 0;
};

/// Means of one process in a second.
struct TrafficRate
{
  double bytes_ = 0.0;
  double messages_ = 0.0;
  double answers_ = 0.0;
  double changes_ = 0.0;
};

/// Replicas that announce themselves, control processes that pass their changes
/// on, and entries that follow these, with the real tables, views and messages.
/// Control process 0 leads.
class DistributionSimulation
{
public:
  explicit DistributionSimulation(const DistributionFleet& aFleet)
    : fleet_(aFleet)
    , controls_(aFleet.controls_)
    , entries_(aFleet.entries_)
  {
    for (std::uint32_t i = 0; i < controls_.size(); ++i) {
      controls_[i].run_ = 1'000 + i;
      At(kTick, [this, i] { TickControl(i); });
    }
    std::uniform_real_distribution<double> part(0.0, 1.0);
    for (std::uint32_t i = 0; i < aFleet.replicas_; ++i) {
      Start(part(random_) < aFleet.warmingPart_,
            Part(kAnnounceInterval, part(random_)));
    }
    for (std::uint32_t i = 0; i < entries_.size(); ++i) {
      entries_[i].positions_.resize(controls_.size());
      for (std::uint32_t control = 0; control < controls_.size(); ++control) {
        At(Part(kMaxWait, part(random_)),
           [this, i, control] { StartSync(i, control); });
      }
      At(Part(kBriefInterval, part(random_)), [this, i] { ReportBriefly(i); });
    }
    if (aFleet.churnPerSecond_ > 0) {
      At(Part(std::chrono::seconds(1), 1 / aFleet.churnPerSecond_),
         [this] { ReplaceRegularly(); });
    }
    RunFor(std::chrono::seconds(3));
    StartMeasuring();
  }

  void RunFor(Duration aTime) { events_.RunUntil(events_.Now() + aTime); }

  void StartMeasuring()
  {
    measuredSince_ = events_.Now();
    slowestDeparture_ = Duration(0);
    for (auto& control : controls_) {
      control.traffic_ = {};
    }
    for (auto& entry : entries_) {
      entry.traffic_ = {};
    }
  }

  /// Replaces so many replicas within `aTime`.
  void Replace(std::uint32_t aCount, Duration aTime)
  {
    for (std::uint32_t i = 0; i < aCount; ++i) {
      At(Part(aTime, static_cast<double>(i) / aCount),
         [this] { ReplaceOne(); });
    }
  }

  TrafficRate EntryRate() const
  {
    Traffic sum;
    for (const auto& entry : entries_) {
      Add(sum, entry.traffic_);
    }
    return RateOf(sum, entries_.size());
  }

  TrafficRate LeaderRate() const { return RateOf(controls_[0].traffic_, 1); }

  /// The mean of the control processes that don't lead.
  TrafficRate FollowerRate() const
  {
    Traffic sum;
    for (std::size_t i = 1; i < controls_.size(); ++i) {
      Add(sum, controls_[i].traffic_);
    }
    return RateOf(sum, controls_.size() - 1);
  }

  /// The longest time since the start of the measurement from a replica's
  /// acknowledged departure until an observed entry gives it no more work.
  Duration SlowestDeparture() const { return slowestDeparture_; }
  /// Whether all observed entries know exactly the replicas that run.
  bool KnowsAll() const
  {
    for (std::size_t i = 0; i < Observed(); ++i) {
      std::size_t known = 0;
      auto present = entries_[i].view_.Present(events_.Now());
      for (const auto& [service, replicas] : *present) {
        known += replicas.size();
      }
      if (known != running_.size()) {
        return false;
      }
    }
    return true;
  }

private:
  static constexpr std::chrono::milliseconds kTick{ 100 };
  static constexpr std::chrono::milliseconds kAnnounceInterval{ 1200 };
  static constexpr std::chrono::milliseconds kMaxWait{ 800 };
  static constexpr std::chrono::milliseconds kSyncDelay{ 60 };
  static constexpr std::chrono::milliseconds kBriefInterval{ 200 };
  static constexpr std::chrono::milliseconds kWarmUp{ 60'000 };
  /// Only these entries keep the records, which take much memory.
  static constexpr std::size_t kObserved = 4;

  using Position = std::pair<std::uint64_t, std::uint64_t>;

  struct Waiting
  {
    std::uint32_t entry_ = 0;
    EntryReport report_;
  };

  struct Control
  {
    ReplicaTable table_{ std::chrono::seconds(5) };
    std::uint64_t run_ = 0;
    ReplicaBatches batches_;
    std::uint64_t published_ = 0;
    bool isPublicationPending_ = false;
    EncodedChanges encoded_;
    std::list<Waiting> waiting_;
    Traffic traffic_;
    /// The sizes of answers, by the positions before and after.
    std::map<std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>,
             std::size_t>
      sizes_;
  };

  struct Entry
  {
    ReplicaView view_;
    /// By control process.
    std::vector<Position> positions_;
    Traffic traffic_;
  };

  struct Running
  {
    std::uint64_t startMs_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint32_t control_ = 0;
    std::optional<TimePoint> warmAt_;
  };

  static Duration Part(Duration aTime, double aPart)
  {
    return std::chrono::duration_cast<Duration>(aTime * aPart);
  }

  static void Add(Traffic& aSum, const Traffic& aTraffic)
  {
    aSum.bytes_ += aTraffic.bytes_;
    aSum.messages_ += aTraffic.messages_;
    aSum.answers_ += aTraffic.answers_;
    aSum.changes_ += aTraffic.changes_;
  }

  TrafficRate RateOf(const Traffic& aSum, std::size_t aProcesses) const
  {
    double divisor = InSeconds(events_.Now() - measuredSince_) *
                     static_cast<double>(std::max<std::size_t>(1, aProcesses));
    return { static_cast<double>(aSum.bytes_) / divisor,
             static_cast<double>(aSum.messages_) / divisor,
             static_cast<double>(aSum.answers_) / divisor,
             static_cast<double>(aSum.changes_) / divisor };
  }

  std::size_t Observed() const
  {
    return std::min<std::size_t>(kObserved, entries_.size());
  }

  void At(Duration aDelay, std::function<void()> aEvent)
  {
    events_.At(events_.Now() + aDelay, std::move(aEvent));
  }

  /// Half of the entries and of the control processes are in each region.
  static Duration Latency(std::uint32_t aLeft, std::uint32_t aRight)
  {
    return aLeft % 2 == aRight % 2 ? std::chrono::milliseconds(1)
                                   : std::chrono::milliseconds(30);
  }

  Replica Describe(const std::string& aId, const Running& aRunning) const
  {
    Replica replica;
    replica.id_ = aId;
    replica.service_ = "service-" + std::to_string(aRunning.startMs_ % 6);
    replica.address_ = "10.20." + std::to_string(aRunning.startMs_ / 250) +
                       "." + std::to_string(aRunning.startMs_ % 250) + ":8000";
    replica.failureDomain_ = "region-1-domain-b";
    replica.startTimeMs_ = aRunning.startMs_;
    replica.sequence_ = aRunning.sequence_;
    replica.slots_ = 32;
    replica.version_ = "v1";
    if (aRunning.warmAt_ && *aRunning.warmAt_ > events_.Now()) {
      replica.warmUpTime_ =
        std::chrono::duration_cast<std::chrono::milliseconds>(
          *aRunning.warmAt_ - events_.Now());
    }
    return replica;
  }

  void Start(bool aIsWarming, Duration aDelay)
  {
    std::uint64_t start = ++lastStartMs_;
    std::string id = "replica-" + std::to_string(start);
    Running& running = running_[id];
    running.startMs_ = start;
    running.control_ = static_cast<std::uint32_t>(start % controls_.size());
    if (aIsWarming) {
      running.warmAt_ = events_.Now() + kWarmUp;
    }
    At(aDelay, [this, id] { Announce(id); });
  }

  void Announce(const std::string& aId)
  {
    auto it = running_.find(aId);
    if (it == running_.end()) {
      return;
    }
    Running& running = it->second;
    ++running.sequence_;
    Control& control = controls_[running.control_];
    auto stamp = control.table_.Stamp();
    control.table_.Announce(Describe(aId, running), events_.Now());
    if (control.table_.Stamp() != stamp) {
      OnReplicasChanged(running.control_);
    }
    At(kAnnounceInterval, [this, aId] { Announce(aId); });
  }

  void ReplaceRegularly()
  {
    ReplaceOne();
    At(Part(std::chrono::seconds(1), 1 / fleet_.churnPerSecond_),
       [this] { ReplaceRegularly(); });
  }

  /// One replica departs and another one starts.
  void ReplaceOne()
  {
    auto it = running_.begin();
    std::advance(it, random_() % running_.size());
    auto [id, running] = *it;
    running_.erase(it);
    controls_[running.control_].table_.Leave(
      id, running.startMs_, events_.Now());
    for (std::size_t i = 0; i < Observed(); ++i) {
      departed_[i].emplace(id, events_.Now());
    }
    OnReplicasChanged(running.control_);
    Start(true, Duration(0));
  }

  void TickControl(std::uint32_t aControl)
  {
    if (!controls_[aControl].table_.Tick(events_.Now()).empty()) {
      OnReplicasChanged(aControl);
    }
    At(kTick, [this, aControl] { TickControl(aControl); });
  }

  EntryReport MakeReport(std::uint32_t aEntry,
                         std::uint32_t aControl,
                         bool aIsBrief) const
  {
    EntryReport report;
    report.entry_.id_ = "entry-" + std::to_string(aEntry);
    report.entry_.callerAddress_ = "10.30.10.10:8080";
    report.entry_.failureDomain_ = "region-1-domain-b";
    report.entry_.region_ = "region-1";
    report.entry_.incarnation_ = 1;
    report.inForce_ = 1;
    report.isBrief_ = aIsBrief;
    report.isToLeader_ = aControl == 0;
    std::tie(report.controlRun_, report.stamp_) =
      entries_[aEntry].positions_[aControl];
    if (!aIsBrief) {
      for (int i = 0; i < 19; ++i) {
        report.usage_.resize(1);
        report.usage_[0].counts_["organisation-" + std::to_string(i)] = 10;
      }
      for (int i = 0; i < 6; ++i) {
        report.services_["service-" + std::to_string(i)] = { 3, 0, 1'000, 0 };
      }
    } else {
      for (int i = 0; i < 4; ++i) {
        report.grantRequests_["organisation-" + std::to_string(i)].need_ = 1.0;
      }
    }
    return report;
  }

  static std::size_t SizeOf(const EntryReport& aReport)
  {
    capnp::MallocMessageBuilder message;
    WriteReport(message.initRoot<wire::SyncRequest>(), aReport);
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
  }

  void StartSync(std::uint32_t aEntry, std::uint32_t aControl)
  {
    Send(aEntry, aControl, MakeReport(aEntry, aControl, false));
  }

  void ReportBriefly(std::uint32_t aEntry)
  {
    Send(aEntry, 0, MakeReport(aEntry, 0, true));
    At(kBriefInterval, [this, aEntry] { ReportBriefly(aEntry); });
  }

  void Send(std::uint32_t aEntry,
            std::uint32_t aControl,
            const EntryReport& aReport)
  {
    std::size_t& size = reportSizes_[{ aReport.isBrief_, aReport.isToLeader_ }];
    if (size == 0) {
      size = SizeOf(aReport);
    }
    Count(entries_[aEntry].traffic_, size);
    Count(controls_[aControl].traffic_, size);
    At(Latency(aEntry, aControl),
       [=, this] { OnReport(aEntry, aControl, aReport); });
  }

  static void Count(Traffic& aTraffic, std::size_t aBytes)
  {
    aTraffic.bytes_ += aBytes;
    ++aTraffic.messages_;
  }

  bool HasUpdate(std::uint32_t aControl, const EntryReport& aReport) const
  {
    const Control& control = controls_[aControl];
    return aReport.controlRun_ != control.run_ ||
           aReport.stamp_ < control.published_;
  }

  void OnReport(std::uint32_t aEntry,
                std::uint32_t aControl,
                const EntryReport& aReport)
  {
    controls_[aControl].batches_.RecordFollower(aReport.entry_.id_,
                                                events_.Now());
    if (aReport.isBrief_ || HasUpdate(aControl, aReport)) {
      Answer(aEntry, aControl, aReport);
      return;
    }
    auto& waiting = controls_[aControl].waiting_;
    auto it = waiting.insert(waiting.end(), { aEntry, aReport });
    auto number = ++lastWait_;
    waits_[number] = true;
    it->report_.madeAt_ = TimePoint(Duration(number));
    At(kMaxWait, [this, it, aControl, number] {
      if (waits_.erase(number) > 0) {
        Waiting ended = *it;
        controls_[aControl].waiting_.erase(it);
        Answer(ended.entry_, aControl, ended.report_);
      }
    });
  }

  void OnReplicasChanged(std::uint32_t aControl)
  {
    Control& control = controls_[aControl];
    if (!std::exchange(control.isPublicationPending_, true)) {
      events_.At(control.batches_.NextAt(),
                 [this, aControl] { Publish(aControl); });
    }
  }

  void Publish(std::uint32_t aControl)
  {
    Control& control = controls_[aControl];
    control.isPublicationPending_ = false;
    control.published_ = control.table_.Stamp();
    control.encoded_.Clear();
    control.batches_.RecordPublication(events_.Now());
    Notify(aControl);
  }

  void Notify(std::uint32_t aControl)
  {
    auto& waiting = controls_[aControl].waiting_;
    for (auto it = waiting.begin(); it != waiting.end();) {
      if (HasUpdate(aControl, it->report_)) {
        waits_.erase(static_cast<std::uint64_t>(
          it->report_.madeAt_.time_since_epoch().count()));
        Answer(it->entry_, aControl, it->report_);
        it = waiting.erase(it);
      } else {
        ++it;
      }
    }
  }

  void Answer(std::uint32_t aEntry,
              std::uint32_t aControl,
              const EntryReport& aReport)
  {
    Control& control = controls_[aControl];
    bool isKnown = aReport.controlRun_ == control.run_;
    std::uint64_t from = isKnown ? aReport.stamp_ : 0;
    std::uint64_t to = control.published_;
    bool isObserved = aEntry < Observed();
    auto [size, isNew] =
      control.sizes_.try_emplace({ from, to, 0 }, std::size_t(0));
    auto answer = std::make_shared<ControlAnswer>();
    answer->replicas_ = { control.run_, to, {} };
    if (isNew || isObserved) {
      answer->replicas_.encoded_ =
        control.encoded_.Get(control.run_, from, to, [&] {
          return control.table_.ChangedBetween(from, to);
        });
      answer->replicas_.isPacked_ = true;
      answer->region_ = "region-1";
      answer->members_.resize(controls_.size(), "10.30.10.10:7000");
      answer->isLeader_ = aControl == 0;
      capnp::MallocMessageBuilder message;
      auto root = message.initRoot<wire::SyncReply>();
      WriteAnswer(root, *answer);
      size->second =
        capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
      *answer = ReadAnswer(root.asReader());
      changes_[{ aControl, from, to }] = answer->replicas_.changed_.size();
    }
    std::size_t changes = changes_[{ aControl, from, to }];
    for (Traffic* traffic : { &control.traffic_, &entries_[aEntry].traffic_ }) {
      Count(*traffic, size->second);
      ++traffic->answers_;
      traffic->changes_ += changes;
    }
    At(Latency(aEntry, aControl), [=, this, isBrief = aReport.isBrief_] {
      OnAnswer(aEntry, aControl, *answer, isBrief);
    });
  }

  void OnAnswer(std::uint32_t aEntry,
                std::uint32_t aControl,
                const ControlAnswer& aAnswer,
                bool aIsBrief)
  {
    Entry& entry = entries_[aEntry];
    entry.positions_[aControl] = { aAnswer.replicas_.run_,
                                   aAnswer.replicas_.stamp_ };
    if (aEntry < Observed()) {
      entry.view_.ApplyReport(
        std::to_string(aControl), aAnswer.replicas_, events_.Now());
      if (!aAnswer.replicas_.changed_.empty()) {
        RecordDepartures(aEntry);
      }
    }
    if (!aIsBrief) {
      At(kSyncDelay, [=, this] { StartSync(aEntry, aControl); });
    }
  }

  void RecordDepartures(std::uint32_t aEntry)
  {
    auto& departed = departed_[aEntry];
    if (departed.empty()) {
      return;
    }
    std::set<std::string> inUse;
    auto present = entries_[aEntry].view_.Present(events_.Now());
    for (const auto& [service, replicas] : *present) {
      for (const auto& replica : replicas) {
        inUse.insert(replica.id_);
      }
    }
    std::erase_if(departed, [&](const auto& aIt) {
      if (inUse.contains(aIt.first)) {
        return false;
      }
      slowestDeparture_ =
        std::max(slowestDeparture_, events_.Now() - aIt.second);
      return true;
    });
  }

  DistributionFleet fleet_;
  std::mt19937 random_{ 1 };
  EventQueue events_;
  std::vector<Control> controls_;
  std::vector<Entry> entries_;
  std::map<std::string, Running> running_;
  std::uint64_t lastStartMs_ = 0;
  std::uint64_t lastWait_ = 0;
  std::map<std::uint64_t, bool> waits_;
  std::map<std::pair<bool, bool>, std::size_t> reportSizes_;
  std::map<std::tuple<std::uint32_t, std::uint64_t, std::uint64_t>, std::size_t>
    changes_;
  /// Replicas that have departed, by observed entry that still uses them.
  std::map<std::size_t, std::map<std::string, TimePoint>> departed_;
  TimePoint measuredSince_;
  Duration slowestDeparture_{ 0 };
};

} // namespace tanagerstall

#endif
