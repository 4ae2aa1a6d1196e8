#ifndef TANAGERSTALL_ROLLOUT_SIMULATION_HPP_INCLUDED
#define TANAGERSTALL_ROLLOUT_SIMULATION_HPP_INCLUDED

#include "tanagerstall_event_queue.hpp"

#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/version/tanagerstall_declaration_source.hpp"
#include "tanagerstall/version/tanagerstall_declaration_transfer.hpp"

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace tanagerstall {

/// The sizes of a simulated fleet in two regions.
struct RolloutFleet
{
  std::size_t entriesPerRegion_ = 0;
  /// Every other one is in the first region, where the leader is.
  std::size_t controlMembers_ = 0;
  std::size_t regionBytesPerSecond_ = 0;
  std::size_t entryBytesPerSecond_ = 0;
};

/// A link that transfers one message after the other.
class SerialLink
{
public:
  explicit SerialLink(std::size_t aBytesPerSecond)
    : bytesPerSecond_(static_cast<double>(aBytesPerSecond))
  {
  }

  /// Returns when a message that is sent at `aNow` has left the link.
  TimePoint Send(TimePoint aNow, std::size_t aBytes)
  {
    auto seconds = static_cast<double>(aBytes) / bytesPerSecond_;
    freeAt_ =
      std::max(freeAt_, aNow) + std::chrono::duration_cast<Duration>(
                                  std::chrono::duration<double>(seconds));
    return freeAt_;
  }

private:
  double bytesPerSecond_;
  TimePoint freeAt_;
};

/// A declaration document with random names, which grows route by route.
class GrowingDocument
{
public:
  void AddRoutes(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      routes_ += R"({"name":"r-)" + RandomName() +
                 R"(","host":"example.test","pathPrefix":"/)" + RandomName() +
                 R"(/","kind":"streaming","timeoutMs":4000,"priority":1,)"
                 R"("targetLatencyMs":1000,"service":"assistant",)"
                 R"("attempts":2,"anonymous":false,"sessionAffinity":true,)"
                 R"("resumable":false,"targetGapMs":300},)";
    }
  }

  std::string Text(std::uint64_t aNumber) const
  {
    return R"({"version":)" + std::to_string(aNumber) + R"(,"routes":[)" +
           routes_ + "]}";
  }

private:
  std::string RandomName()
  {
    std::string name(7, 'a');
    for (char& letter : name) {
      letter = static_cast<char>('a' + random_() % 26);
    }
    return name;
  }

  std::mt19937 random_{ 1 };
  std::string routes_;
};

/// A change of the declaration and its way to the entries.
struct RolloutChange
{
  std::uint64_t number_ = 0;
  TimePoint acknowledgedAt_;
  /// Time from the acknowledgement until the last entry has it.
  std::optional<Duration> inForceAfter_;
};

/// Entries that learn of declarations from control members and download them,
/// with the real selection of the member, the real size of what is sent, and
/// links that delay small messages behind large ones.
class RolloutSimulation
{
public:
  RolloutSimulation(const RolloutFleet& aFleet, std::size_t aRoutes)
    : fleet_(aFleet)
    , regionLinks_(2, SerialLink(aFleet.regionBytesPerSecond_))
    , members_(aFleet.controlMembers_)
    , entries_(2 * aFleet.entriesPerRegion_, Entry(aFleet.entryBytesPerSecond_))
  {
    document_.AddRoutes(aRoutes);
    for (auto& member : members_) {
      member.number_ = number_;
      member.history_.Add({ number_, document_.Text(number_) });
    }
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
      for (std::size_t member = 0; member < members_.size(); ++member) {
        events_.At(events_.Now() + std::chrono::milliseconds(entry % 60),
                   [=, this] { StartSync(entry, member); });
      }
    }
    RunFor(std::chrono::seconds(2));
    bytesReceived_ = 0;
  }

  /// The leader commits a declaration with so many routes more.
  void AddRoutes(std::size_t aCount)
  {
    document_.AddRoutes(aCount);
    Declaration declaration{ ++number_, document_.Text(number_) };
    std::size_t commandBytes = FleetState::EncodeDeclare(declaration).size();
    TimePoint nearAt = events_.Now() + kLocalLatency;
    // Copies that are sent together share the link and arrive together.
    std::size_t copies = members_.size() / 2;
    TimePoint farAt =
      regionLinks_[0].Send(events_.Now(), copies * commandBytes) +
      kRegionLatency;
    std::vector<TimePoint> appliedAt;
    for (std::size_t member = 0; member < members_.size(); ++member) {
      TimePoint at = RegionOfMember(member) == 0 ? nearAt : farAt;
      appliedAt.push_back(at);
      events_.At(at, [=, this] { Apply(member, declaration); });
    }
    std::sort(appliedAt.begin(), appliedAt.end());
    changes_.push_back(
      { number_, appliedAt[members_.size() / 2], std::nullopt });
  }

  void RunFor(Duration aTime) { events_.RunUntil(events_.Now() + aTime); }

  const std::vector<RolloutChange>& Changes() const { return changes_; }
  std::size_t BytesPerEntry() const { return bytesReceived_ / entries_.size(); }

private:
  static constexpr std::chrono::milliseconds kLocalLatency{ 3 };
  static constexpr std::chrono::milliseconds kRegionLatency{ 30 };
  static constexpr std::chrono::milliseconds kSyncDelay{ 60 };
  static constexpr std::chrono::milliseconds kAnswerWait{ 800 };
  static constexpr std::chrono::milliseconds kLackingWait{ 150 };
  /// An answer without a declaration.
  static constexpr std::size_t kAnswerBytes = 300;

  struct Report
  {
    std::size_t entry_;
    DeclarationNumber held_;
    DeclarationNumber newest_;
    bool wantsDeclaration_;
  };

  struct Member
  {
    std::uint64_t number_ = 0;
    DeclarationHistory history_;
    std::list<std::shared_ptr<Report>> waiting_;
  };

  struct Entry
  {
    explicit Entry(std::size_t aBytesPerSecond)
      : link_(aBytesPerSecond)
    {
    }

    std::uint64_t held_ = 1;
    DeclarationSource source_;
    SerialLink link_;
  };

  static std::size_t RegionOfMember(std::size_t aMember) { return aMember % 2; }
  static std::size_t RegionOfEntry(std::size_t aEntry) { return aEntry % 2; }

  static Duration Latency(std::size_t aEntry, std::size_t aMember)
  {
    return RegionOfEntry(aEntry) == RegionOfMember(aMember) ? kLocalLatency
                                                            : kRegionLatency;
  }

  void StartSync(std::size_t aEntry, std::size_t aMember)
  {
    Entry& entry = entries_[aEntry];
    TimePoint now = events_.Now();
    auto report = std::make_shared<Report>(
      Report{ aEntry,
              entry.held_,
              entry.source_.NewestNumber(),
              entry.source_.ShouldRequestFrom(
                std::to_string(aMember), entry.held_, now) });
    events_.At(now + Latency(aEntry, aMember),
               [=, this] { OnReport(aMember, report); });
  }

  static bool HasUpdate(const Member& aMember, const Report& aReport)
  {
    return aReport.newest_ < aMember.number_ ||
           (aReport.wantsDeclaration_ && aReport.held_ < aMember.number_);
  }

  void OnReport(std::size_t aMember, const std::shared_ptr<Report>& aReport)
  {
    Member& member = members_[aMember];
    if (HasUpdate(member, *aReport)) {
      Answer(aMember, *aReport);
      return;
    }
    member.waiting_.push_back(aReport);
    auto wait = aReport->newest_ > aReport->held_ ? kLackingWait : kAnswerWait;
    events_.At(events_.Now() + wait, [=, this] {
      if (members_[aMember].waiting_.remove(aReport) > 0) {
        Answer(aMember, *aReport);
      }
    });
  }

  void Apply(std::size_t aMember, const Declaration& aDeclaration)
  {
    Member& member = members_[aMember];
    member.number_ = aDeclaration.number_;
    member.history_.Add(aDeclaration);
    auto waiting = std::exchange(member.waiting_, {});
    for (const auto& report : waiting) {
      if (HasUpdate(member, *report)) {
        Answer(aMember, *report);
      } else {
        member.waiting_.push_back(report);
      }
    }
  }

  void Answer(std::size_t aMember, const Report& aReport)
  {
    Member& member = members_[aMember];
    std::optional<std::uint64_t> sent;
    std::size_t bytes = kAnswerBytes;
    if (aReport.wantsDeclaration_ && member.number_ > aReport.held_) {
      sent = member.number_;
      bytes +=
        member.history_.TransferFor({ true, aReport.held_ }).payload_.size();
    }
    std::size_t entry = aReport.entry_;
    TimePoint now = events_.Now();
    TimePoint arrival = entries_[entry].link_.Send(now, bytes);
    std::size_t region = RegionOfMember(aMember);
    if (region != RegionOfEntry(entry)) {
      arrival = std::max(arrival, regionLinks_[region].Send(now, bytes));
    }
    bytesReceived_ += bytes;
    DeclarationUpdate update{ member.number_,
                              region == RegionOfEntry(entry),
                              aMember == 0 };
    events_.At(arrival + Latency(entry, aMember),
               [=, this] { OnAnswer(entry, aMember, update, sent); });
  }

  void OnAnswer(std::size_t aEntry,
                std::size_t aMember,
                const DeclarationUpdate& aUpdate,
                std::optional<std::uint64_t> aReceived)
  {
    Entry& entry = entries_[aEntry];
    entry.source_.OnUpdate(std::to_string(aMember), aUpdate, events_.Now());
    entry.held_ = std::max(entry.held_, aReceived.value_or(0));
    RecordRollout();
    events_.At(events_.Now() + kSyncDelay,
               [=, this] { StartSync(aEntry, aMember); });
  }

  void RecordRollout()
  {
    std::uint64_t lowest = entries_.front().held_;
    for (const auto& entry : entries_) {
      lowest = std::min(lowest, entry.held_);
    }
    for (auto& change : changes_) {
      if (!change.inForceAfter_ && change.number_ <= lowest) {
        change.inForceAfter_ = events_.Now() - change.acknowledgedAt_;
      }
    }
  }

  RolloutFleet fleet_;
  EventQueue events_;
  GrowingDocument document_;
  std::uint64_t number_ = 1;
  std::vector<SerialLink> regionLinks_;
  std::vector<Member> members_;
  std::vector<Entry> entries_;
  std::vector<RolloutChange> changes_;
  std::size_t bytesReceived_ = 0;
};

} // namespace tanagerstall

#endif
