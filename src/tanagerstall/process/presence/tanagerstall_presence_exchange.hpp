#ifndef TANAGERSTALL_PRESENCE_EXCHANGE_HPP_INCLUDED
#define TANAGERSTALL_PRESENCE_EXCHANGE_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_presence_table.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerstall {

/// The unit in which ages of aggregate renewals are sent; they are rounded up.
constexpr std::chrono::milliseconds kAgeStep{ 20 };
/// The age that stands for a missing or expired aggregate renewal.
constexpr std::uint8_t kExpiredAge = 255;

/// An origin's run, and the version up to which its facts are known.
struct KnownOrigin
{
  EntryRun run_;
  std::uint64_t knownVersion_ = 0;
};

/// Requests the changes in a peer's presence table.
struct PresencePull
{
  std::string sender_;
  /// The incarnation of the peer that `after_` refers to.
  std::uint64_t peerIncarnation_ = 0;
  /// The position in the peer's change log that the sender has reached; 0
  /// requests the full state.
  std::uint64_t after_ = 0;
  /// What the sender knows already; only sent while it receives full state.
  std::vector<KnownOrigin> known_;
  /// Not sent: matches the reply with the sender's latest pull.
  std::uint64_t token_ = 0;
  /// Not sent: the time of the pull by the sender's clock.
  TimePoint sentAt_;
};

/// The reply to a pull.
struct PresenceReply
{
  struct OriginSlot
  {
    PresenceTable::Slot slot_ = 0;
    KnownOrigin origin_;
  };

  struct SlotFact
  {
    PresenceTable::Slot slot_ = 0;
    PresenceFact fact_;
  };

  std::uint64_t incarnation_ = 0;
  /// The position in the change log that the receiver reaches by this reply.
  std::uint64_t change_ = 0;
  /// Whether this is the first part of the full state. Facts that the full
  /// state lacks have been removed.
  bool isFull_ = false;
  /// Whether changes remain; the receiver must pull them before it may apply
  /// the ages.
  bool hasMore_ = false;
  std::vector<OriginSlot> origins_;
  std::vector<SlotFact> facts_;
  /// The age of the aggregate renewal of each slot, in units of kAgeStep.
  std::vector<std::uint8_t> ages_;
};

/// The result of handling a reply.
enum class PullResult
{
  Done,
  /// The caller must pull from the same peer again at once.
  Again,
  /// The reply belongs to an earlier pull and was discarded.
  Ignored
};

/// Synchronises a presence table with those of other entries by pulling changes
/// from peers. The age of received renewals counts from the time at which the
/// pull was sent, by the sender's own clock, so that frozen processes and
/// delayed messages can't make old renewals look recent.
class PresenceExchange
{
public:
  explicit PresenceExchange(PresenceTable& aTable);

  /// Makes a pull to send to a peer. Replies to earlier pulls from the peer are
  /// ignored from then on.
  PresencePull Pull(const std::string& aPeer, TimePoint aNow);
  /// Makes the reply to a pull that a peer sent.
  PresenceReply Answer(const PresencePull& aPull, TimePoint aNow) const;
  /// Handles the reply to `aPull`. The table changes once the last part of a
  /// reply has arrived.
  PullResult Apply(const std::string& aPeer,
                   const PresencePull& aPull,
                   const PresenceReply& aReply,
                   TimePoint aNow);
  /// Removes the state of peers that are not in the list.
  void KeepPeers(const std::vector<std::string>& aPeers);

private:
  using Slot = PresenceTable::Slot;

  /// The slot in the own table of a run that is in a peer's table.
  struct MappedOrigin
  {
    EntryRun run_;
    Slot ownSlot_ = 0;
    /// The position at which the run was added to the own table; detects that
    /// the slot has been reused.
    std::uint64_t ownChange_ = 0;
  };

  struct Peer
  {
    /// The token of the pull in flight; 0 for none.
    std::uint64_t token_ = 0;
    std::uint64_t incarnation_ = 0;
    /// The position reached in the peer's change log.
    std::uint64_t change_ = 0;
    /// Whether the buffered replies make up the full state.
    bool isFull_ = false;
    /// The table's count of removed origins when the full state was requested.
    std::uint64_t removedOrigins_ = 0;
    std::map<Slot, KnownOrigin> pendingOrigins_;
    std::vector<PresenceReply::SlotFact> pendingFacts_;
    std::map<Slot, MappedOrigin> slots_;
  };

  /// Adds a reply to the buffered parts, which are applied together.
  void BufferReply(Peer& aPeer, const PresenceReply& aReply) const;
  /// Whether every origin with a valid renewal in the reply is known here. An
  /// origin that was removed since the pull has to be received in full again.
  bool IsResolvable(const Peer& aPeer, const PresenceReply& aReply) const;
  /// Returns the own slot of the run in a peer's slot; nothing if the own table
  /// does not contain the run.
  std::optional<Slot> OwnSlot(const Peer& aPeer, Slot aSlot) const;
  void MapOrigins(Peer& aPeer, const PresenceReply& aReply, TimePoint aNow);
  void ApplyFacts(Peer& aPeer, TimePoint aNow);
  /// Removes the facts that the peer, which knows a higher version of their
  /// origin, no longer has.
  void DropMissing(const Peer& aPeer,
                   Slot aPeerSlot,
                   const KnownOrigin& aOrigin);
  void ApplyAges(const Peer& aPeer,
                 const PresencePull& aPull,
                 const PresenceReply& aReply);

  PresenceTable& table_;
  std::map<std::string, Peer> peers_;
  std::uint64_t lastToken_ = 0;
};

} // namespace tanagerstall

#endif
