#ifndef TANAGERSTALL_PRESENCE_TABLE_HPP_INCLUDED
#define TANAGERSTALL_PRESENCE_TABLE_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_upstream_info.hpp"

#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace tanagerstall {

/// The longest time to live of an announcement; longer ones are cut to it.
constexpr std::chrono::milliseconds kMaxAnnouncementTimeToLive{ 4000 };
/// The time to live of an entry's aggregate renewal at the other entries. It
/// bounds on its own how long they still send new work to an upstream that has
/// stopped announcing itself.
constexpr std::chrono::milliseconds kRenewalTimeToLive{ 4600 };
/// The age of an upstream's last announcement at which its origin reports it
/// as expired to the other entries. The aggregate renewal is as old as the
/// oldest announcement that it covers, so a late upstream would otherwise make
/// the renewal expire for all upstreams of the origin.
constexpr std::chrono::milliseconds kWithdrawAfter{ 1700 };
/// How long the tombstone of an upstream that left or expired is kept, so that
/// delayed announcements of it are still rejected as stale.
constexpr std::chrono::minutes kTombstoneRetention{ 10 };
/// How long another entry's run and its upstreams are kept without a renewal.
constexpr std::chrono::minutes kOriginRetention{ 5 };
constexpr std::size_t kMaxUpstreams = 20'000;
/// The most upstreams of one service that one entry sends work to.
constexpr std::size_t kMaxUpstreamsPerService = 128;

/// Identifies one run of an entry process, from its start to its end.
struct EntryRun
{
  std::string id_;
  std::uint64_t incarnation_ = 0;

  bool operator==(const EntryRun&) const = default;
  bool operator<(const EntryRun& aOther) const
  {
    return std::tie(id_, incarnation_) <
           std::tie(aOther.id_, aOther.incarnation_);
  }
};

/// The state of an upstream at the entry that receives its announcements.
enum class UpstreamState
{
  Present,
  /// Not renewed in time.
  Expired,
  /// Has announced that it takes no new work.
  Leaving
};

/// An origin's report about one of its upstreams. Versions grow over all facts
/// of an origin's run; a higher version replaces a lower one.
struct PresenceFact
{
  std::uint64_t version_ = 0;
  UpstreamState state_ = UpstreamState::Present;
  std::shared_ptr<const UpstreamInfo> info_;
};

/// The result of handling an announcement.
enum class AnnouncementResult
{
  Accepted,
  /// Ignored: delayed, repeated, from an earlier incarnation, or received
  /// while this process recovers from a pause.
  Stale,
  /// Ignored: kMaxUpstreams upstreams are known already.
  TooMany
};

/// The upstreams known to this entry, from their own announcements and from
/// other entries. A deterministic state machine: callers pass the time, and it
/// reads no clock.
///
/// An upstream announces itself to any one entry, its origin. The origin
/// distributes a fact when the upstream's state changes, and renews all its
/// present upstreams together with one time: each of them announced itself at
/// or after it.
class PresenceTable
{
public:
  using Slot = std::uint16_t;

  /// A run of an entry and the facts that it distributes. Slot 0 is this
  /// entry's own run.
  struct Origin
  {
    struct StoredFact
    {
      PresenceFact fact_;
      /// Position of the fact's last change in this table's change log.
      std::uint64_t change_ = 0;
      TimePoint changedAt_;
    };

    EntryRun run_;
    /// Every present upstream announced itself at or after this time; min()
    /// before the first renewal.
    TimePoint renewedAt_ = TimePoint::min();
    /// The origin's facts up to this version have been applied here.
    std::uint64_t knownVersion_ = 0;
    /// Position in the change log at which the origin was added.
    std::uint64_t change_ = 0;
    /// When the origin was added or last renewed.
    TimePoint lastActiveAt_{};
    std::map<std::string, StoredFact> facts_;
    /// Whether the slot is occupied.
    bool isUsed_ = true;
  };

  PresenceTable(EntryRun aSelf, TimePoint aNow);

  /// Handles an announcement that an upstream sent to this entry.
  AnnouncementResult Observe(UpstreamInfo aUpstream, TimePoint aNow);
  /// Expires upstreams and removes old state; call it every few hundred
  /// milliseconds. After a gap of more than a second between calls (a frozen
  /// process) announcements are ignored for a second, since they may have been
  /// queued in a socket meanwhile.
  void Tick(TimePoint aNow);

  /// Returns the upstreams that may get new work. For a service with more than
  /// kMaxUpstreamsPerService, each entry uses its own subset, so that
  /// connections don't form a full mesh.
  std::vector<PresentUpstream> Present(TimePoint aNow) const;
  /// Whether another entry's last aggregate renewal is still valid.
  bool IsEntryFresh(const std::string& aEntry, TimePoint aNow) const;
  bool IsPresent(const std::string& aId, TimePoint aNow) const;
  /// Returns the number of known upstreams, tombstones included.
  std::size_t CountUpstreams() const { return upstreams_.size(); }

  // The functions below serve the exchange with other entries.

  const std::vector<Origin>& Origins() const { return origins_; }
  const EntryRun& Self() const { return origins_.front().run_; }
  /// Returns the receipt time of the oldest announcement among this entry's
  /// present upstreams; `aNow` without any.
  TimePoint OwnRenewalTime(TimePoint aNow) const;
  /// Returns the slot of a run, or nullptr for an unknown run.
  const Slot* FindOrigin(const EntryRun& aRun) const;
  /// Adds a run that has no slot yet, reusing a free slot if there is one.
  Slot AddOrigin(const EntryRun& aRun, TimePoint aNow);
  /// Stores a fact unless the stored one has the same or a higher version.
  void ApplyFact(Slot aOrigin, const PresenceFact& aFact, TimePoint aNow);
  /// Removes a fact that its origin no longer lists.
  void DropFact(Slot aOrigin, const std::string& aUpstream);
  void RaiseKnownVersion(Slot aOrigin, std::uint64_t aVersion);
  /// Records an aggregate renewal; an older one than known changes nothing.
  void Renew(Slot aOrigin, TimePoint aAt);
  /// The position of the newest entry in the change log.
  std::uint64_t LastChange() const { return lastChange_; }
  /// A peer whose position is below this one missed removed tombstones and
  /// needs the full state.
  std::uint64_t TrimmedTo() const { return trimmedTo_; }
  /// The number of origins removed so far.
  std::uint64_t RemovedOrigins() const { return removedOrigins_; }
  /// The origin and id of an upstream whose fact changed.
  using Change = std::pair<Slot, std::string>;
  /// The change log by position. Only the last change of a fact is kept.
  const std::map<std::uint64_t, Change>& Changes() const { return changes_; }

private:
  struct DirectAnnouncement
  {
    std::shared_ptr<const UpstreamInfo> info_;
    TimePoint receivedAt_;
  };

  /// What this entry and all origins know about one upstream.
  struct Upstream
  {
    /// Incarnation and sequence of the newest announcement known from any
    /// origin, and of the newest one received directly.
    std::pair<std::uint64_t, std::uint64_t> newestOrder_;
    std::pair<std::uint64_t, std::uint64_t> directOrder_;
    bool isLeaving_ = false;
    /// A hash of the upstream and this entry; lower ranks are preferred when
    /// the number of upstreams per service is limited.
    std::uint64_t rank_ = 0;
    TimePoint updatedAt_;
    /// The fact of each origin about the upstream; owned by the origins.
    std::vector<std::pair<Slot, const Origin::StoredFact*>> origins_;
    /// The announcement that this entry received itself and that has not
    /// expired, or nullptr.
    const DirectAnnouncement* direct_ = nullptr;
  };

  /// Distributes a fact, unless only the sequence or the reported load differs.
  void SetOwnFact(const UpstreamInfo& aInfo,
                  UpstreamState aState,
                  TimePoint aNow);
  void StoreFact(Slot aOrigin, const PresenceFact& aFact, TimePoint aNow);
  /// Updates what is the same for all origins of an upstream.
  void UpdateNewest(const UpstreamInfo& aInfo, TimePoint aNow);
  void ExpireAnnouncements(TimePoint aNow);
  void RemoveOldState(TimePoint aNow);
  void RemoveTombstones(Slot aOrigin, TimePoint aNow);
  void RemoveOrigin(Slot aOrigin);
  void UnlinkOrigin(const std::string& aUpstream, Slot aOrigin);
  bool IsPaused(TimePoint aNow) const;
  /// An upstream's newest announcement and the end of its validity. `info_` is
  /// nullptr if the upstream must not get new work.
  struct Candidate
  {
    const std::shared_ptr<const UpstreamInfo>* info_ = nullptr;
    TimePoint until_ = TimePoint::min();
    std::uint64_t rank_ = 0;
  };

  Candidate CandidateOf(const Upstream& aUpstream, TimePoint aNow) const;
  Upstream& UpstreamOf(const std::string& aId);

  std::vector<Origin> origins_;
  std::map<EntryRun, Slot> slots_;
  std::map<std::string, Upstream> upstreams_;
  std::map<std::string, DirectAnnouncement> directAnnouncements_;
  std::map<std::uint64_t, Change> changes_;
  std::uint64_t lastChange_ = 0;
  std::uint64_t trimmedTo_ = 0;
  std::uint64_t removedOrigins_ = 0;
  TimePoint lastTick_;
  TimePoint ignoreUntil_ = TimePoint::min();
  TimePoint lastCleaning_;
};

} // namespace tanagerstall

#endif
