#ifndef TANAGERSTALL_PRESENCE_EXCHANGE_HPP_INCLUDED
#define TANAGERSTALL_PRESENCE_EXCHANGE_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_presence_table.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerstall {

/// Ages of vouches travel in steps of this length; they are rounded up.
constexpr std::chrono::milliseconds kAgeStep{ 20 };
/// The age of a vouch that is too old to be of use.
constexpr std::uint8_t kExpiredAge = 255;

/// An origin that the sender of a pull knows, and up to which version.
struct KnownOrigin
{
  EntryRun run_;
  std::uint64_t knownVersion_ = 0;
};

/// Asks a peer for what has changed there.
struct PresencePull
{
  std::string sender_;
  /// The run of the peer that `after_` belongs to.
  std::uint64_t peerIncarnation_ = 0;
  std::uint64_t after_ = 0;
  /// Only sent when the whole state is asked for.
  std::vector<KnownOrigin> known_;
  /// Not sent: lets the sender tell replies apart.
  std::uint64_t token_ = 0;
  TimePoint sentAt_;
};

/// The answer to a pull.
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
  /// The position that this reply brings its reader to.
  std::uint64_t change_ = 0;
  /// Whether it starts the whole state; what it lacks is gone.
  bool isFull_ = false;
  /// Whether the reader has to pull again before the ages hold.
  bool hasMore_ = false;
  std::vector<OriginSlot> origins_;
  std::vector<SlotFact> facts_;
  /// For each slot the age of its vouch, in kAgeStep.
  std::vector<std::uint8_t> ages_;
};

/// What is to be done after a reply.
enum class PullResult
{
  Done,
  /// Pull again at once.
  Again,
  /// An answer to an earlier pull: it changed nothing.
  Ignored
};

/// Keeps a presence table equal with those of other entries. An entry pulls
/// from its peers; the age of what it learns counts from the moment that it
/// sent the pull, by its own clock, so that frozen processes and delayed
/// messages can't make old news look young.
class PresenceExchange
{
public:
  explicit PresenceExchange(PresenceTable& aTable);

  /// A pull from a peer; an answer to an earlier one is ignored from now on.
  PresencePull Pull(const std::string& aPeer, TimePoint aNow);
  PresenceReply Answer(const PresencePull& aPull, TimePoint aNow) const;
  PullResult Apply(const std::string& aPeer,
                   const PresencePull& aPull,
                   const PresenceReply& aReply,
                   TimePoint aNow);
  /// Drops what is kept for peers that are not in the list.
  void KeepPeers(const std::vector<std::string>& aPeers);

private:
  using Slot = PresenceTable::Slot;

  /// A run in a peer's table and in the own.
  struct MappedOrigin
  {
    EntryRun run_;
    Slot ownSlot_ = 0;
    std::uint64_t ownChange_ = 0;
  };

  struct Peer
  {
    std::uint64_t token_ = 0;
    std::uint64_t incarnation_ = 0;
    std::uint64_t change_ = 0;
    bool isFull_ = false;
    /// The table's count of forgotten origins when the whole state was asked
    /// for.
    std::uint64_t removedOrigins_ = 0;
    std::map<Slot, KnownOrigin> pendingOrigins_;
    std::vector<PresenceReply::SlotFact> pendingFacts_;
    std::map<Slot, MappedOrigin> slots_;
  };

  void BufferReply(Peer& aPeer, const PresenceReply& aReply) const;
  bool IsResolvable(const Peer& aPeer, const PresenceReply& aReply) const;
  /// The own slot for a peer's slot; nothing for a run that is not held.
  std::optional<Slot> OwnSlot(const Peer& aPeer, Slot aSlot) const;
  void MapOrigins(Peer& aPeer, const PresenceReply& aReply, TimePoint aNow);
  void ApplyFacts(Peer& aPeer, TimePoint aNow);
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
