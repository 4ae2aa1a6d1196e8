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

/// The longest time to live of an announcement.
constexpr std::chrono::milliseconds kMaxAnnouncementTimeToLive{ 4000 };
/// How long an entry's word for its upstreams holds at the other entries. It
/// bounds by itself how long new work goes on after an upstream's silence.
constexpr std::chrono::milliseconds kRenewalTimeToLive{ 4600 };
/// An upstream that has been silent for this long is withdrawn from the other
/// entries, so that the entry's word for the rest stays young.
constexpr std::chrono::milliseconds kWithdrawAfter{ 1700 };
/// How long a departed upstream is remembered, so that a late announcement of
/// it changes nothing.
constexpr std::chrono::minutes kTombstoneRetention{ 10 };
/// How long an entry that is silent is kept with its upstreams.
constexpr std::chrono::minutes kOriginRetention{ 5 };
constexpr std::size_t kMaxUpstreams = 20'000;
/// An entry uses at most this many upstreams of one service.
constexpr std::size_t kMaxUpstreamsPerService = 128;

/// One run of an entry, from its start to its end.
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

/// How an upstream stands with the entry that it announces itself to.
enum class UpstreamState
{
  Present,
  Expired,
  Leaving
};

/// What an entry says of one of its upstreams; a higher version replaces it.
struct PresenceFact
{
  std::uint64_t version_ = 0;
  UpstreamState state_ = UpstreamState::Present;
  std::shared_ptr<const UpstreamInfo> info_;
};

/// What became of an announcement.
enum class AnnouncementResult
{
  Accepted,
  /// Late, repeated or of an earlier incarnation: it changes nothing.
  Stale,
  TooMany
};

/// The upstreams that this entry and others have heard of. A plain state
/// machine: all calls take the time and it reads no clock.
///
/// An upstream announces itself to any entry, its origin. Origins spread a
/// fact when an upstream's standing changes, and vouch for the rest together:
/// "all my present upstreams announced themselves at or after this time".
class PresenceTable
{
public:
  using Slot = std::uint16_t;

  /// Slot 0 is the own run.
  struct Origin
  {
    struct StoredFact
    {
      PresenceFact fact_;
      /// Position in this table's log of changes.
      std::uint64_t change_ = 0;
      TimePoint changedAt_;
    };

    EntryRun run_;
    /// Every present upstream announced itself at or after this time.
    TimePoint renewedAt_ = TimePoint::min();
    /// All facts up to this version are known here.
    std::uint64_t knownVersion_ = 0;
    /// Position in the log of changes at which it was added.
    std::uint64_t change_ = 0;
    TimePoint lastActiveAt_{};
    std::map<std::string, StoredFact> facts_;
    bool isUsed_ = true;
  };

  PresenceTable(EntryRun aSelf, TimePoint aNow);

  /// Takes in an upstream's own announcement.
  AnnouncementResult Observe(UpstreamInfo aUpstream, TimePoint aNow);
  /// To be called every few hundred milliseconds: finds silent upstreams and
  /// drops what is old. After a pause of this process announcements are
  /// passed over for a moment, since they may have waited in a socket.
  void Tick(TimePoint aNow);

  /// The upstreams that may get new work. Of a service with many, each entry
  /// gets a subset of its own, so that connections don't form a full mesh.
  std::vector<PresentUpstream> Present(TimePoint aNow) const;
  /// Whether another entry has vouched for its upstreams lately.
  bool IsEntryFresh(const std::string& aEntry, TimePoint aNow) const;
  bool IsPresent(const std::string& aId, TimePoint aNow) const;
  /// Upstreams known, present or not.
  std::size_t CountUpstreams() const { return upstreams_.size(); }

  // What follows is for the exchange with other entries.

  const std::vector<Origin>& Origins() const { return origins_; }
  const EntryRun& Self() const { return origins_.front().run_; }
  /// The time that this entry vouches for now.
  TimePoint OwnRenewalTime(TimePoint aNow) const;
  /// The slot of a run, or nullptr.
  const Slot* FindOrigin(const EntryRun& aRun) const;
  Slot AddOrigin(const EntryRun& aRun, TimePoint aNow);
  void ApplyFact(Slot aOrigin, const PresenceFact& aFact, TimePoint aNow);
  /// Drops a fact that its origin no longer has.
  void DropFact(Slot aOrigin, const std::string& aUpstream);
  void RaiseKnownVersion(Slot aOrigin, std::uint64_t aVersion);
  void Renew(Slot aOrigin, TimePoint aAt);
  std::uint64_t LastChange() const { return lastChange_; }
  /// A reader that has seen less than this needs the whole state.
  std::uint64_t TrimmedTo() const { return trimmedTo_; }
  /// How many origins were forgotten so far.
  std::uint64_t RemovedOrigins() const { return removedOrigins_; }
  /// The changes after a position: the position, the origin's slot and the
  /// upstream.
  using Change = std::pair<Slot, std::string>;
  const std::map<std::uint64_t, Change>& Changes() const { return changes_; }

private:
  struct DirectAnnouncement
  {
    std::shared_ptr<const UpstreamInfo> info_;
    TimePoint receivedAt_;
  };

  /// All that is known of one upstream, over its origins.
  struct Upstream
  {
    std::pair<std::uint64_t, std::uint64_t> newestOrder_;
    std::pair<std::uint64_t, std::uint64_t> directOrder_;
    bool isLeaving_ = false;
    /// Its place in the order in which this entry prefers upstreams.
    std::uint64_t rank_ = 0;
    TimePoint updatedAt_;
    /// What each origin says of it; the facts lie in the origins.
    std::vector<std::pair<Slot, const Origin::StoredFact*>> origins_;
    /// What it has told this entry itself, or nullptr.
    const DirectAnnouncement* direct_ = nullptr;
  };

  void SetOwnFact(const UpstreamInfo& aInfo,
                  UpstreamState aState,
                  TimePoint aNow);
  void StoreFact(Slot aOrigin, const PresenceFact& aFact, TimePoint aNow);
  void UpdateNewest(const UpstreamInfo& aInfo, TimePoint aNow);
  void ExpireAnnouncements(TimePoint aNow);
  void RemoveOldState(TimePoint aNow);
  void RemoveTombstones(Slot aOrigin, TimePoint aNow);
  void RemoveOrigin(Slot aOrigin);
  void UnlinkOrigin(const std::string& aUpstream, Slot aOrigin);
  bool IsPaused(TimePoint aNow) const;
  /// The newest form of an upstream and how long it is present. Without a
  /// form it gets no new work.
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
