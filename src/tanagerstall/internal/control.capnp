@0xb3a1f0c2d4e59687;
# Interfaces between the control members and the entries, and among entries.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("tanagerstall::wire");

enum Group {
  configuration @0;
  ledger @1;
}

struct EntryInfo {
  # An entry's state, which it sends with every heartbeat to control.
  id @0 :Text;
  callerAddress @1 :Text;
  peerAddress @2 :Text;
  failureDomain @3 :Text;
  region @4 :Text;
  incarnation @5 :UInt64;
  revision @6 :UInt64;
  draining @7 :Bool;
  weight @8 :UInt32;
}

struct Reply {
  union {
    result @0 :Data;
    notLeader @1 :Text;
    unavailable @2 :Text;
  }
}

struct RecordUpdate {
  key @0 :Text;
  revision @1 :UInt64;
  deleted @2 :Bool;
  body @3 :Text;
}

struct ConfigurationUpdate {
  revision @0 :UInt64;
  isSnapshot @1 :Bool;
  records @2 :List(RecordUpdate);
  entries @3 :List(EntryInfo);
  # Set only if entriesVersion differs from the one in the request.
  unavailable @4 :Text;
  # Not empty if this member may not be current; the entry should use another.
  entriesVersion @5 :UInt64;
}

interface Control {
  # Served by a control member to entries.
  propose @0 (group :Group, command :Data) -> (reply :Reply);
  # Commits a command to a group's log and returns its result.
  query @1 (group :Group, query :Data) -> (reply :Reply);
  # Reads a group's state after the leader has confirmed its quorum.
  watch @2 (self :EntryInfo, afterRevision :UInt64, entriesVersion :UInt64)
      -> (update :ConfigurationUpdate);
  # Returns when the revision exceeds afterRevision, or after a short wait.
  ping @3 () -> ();
  announce @4 (self :EntryInfo) -> ();
  # A heartbeat, sent to the members that the entry doesn't watch.
}

struct UpstreamPresence {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  region @4 :Text;
  instanceClass @5 :Text;
  price @6 :Float64;
  incarnation @7 :UInt64;
  sequence @8 :UInt64;
  timeToLiveMs @9 :UInt32;
  capacity @10 :UInt32;
  checksFencing @11 :Bool;
  deduplicates @12 :Bool;
  leaving @13 :Bool;
  reclaimInMs @14 :Int64 = -1;
  # Time until the instance is reclaimed; negative without a reclaim notice.
}

enum Standing {
  present @0;
  silent @1;
  leaving @2;
}

struct KnownOrigin {
  # A run of an entry, and the version up to which its facts are known.
  id @0 :Text;
  incarnation @1 :UInt64;
  level @2 :UInt64;
}

struct PresencePull {
  sender @0 :Text;
  peerIncarnation @1 :UInt64;
  after @2 :UInt64;
  # The position in the peer's log of changes up to which the sender has read.
  known @3 :List(KnownOrigin);
  # Set only if the sender requests the whole state.
}

struct OriginSlot {
  slot @0 :UInt16;
  origin @1 :KnownOrigin;
}

struct SlotFact {
  slot @0 :UInt16;
  version @1 :UInt64;
  standing @2 :Standing;
  upstream @3 :UpstreamPresence;
}

struct PresenceReply {
  incarnation @0 :UInt64;
  change @1 :UInt64;
  full @2 :Bool;
  more @3 :Bool;
  origins @4 :List(OriginSlot);
  facts @5 :List(SlotFact);
  ages @6 :Data;
  # For each slot, the time since its last renewal in steps of 20 ms; 255 means
  # too old.
}

interface Peer {
  # Served by an entry to its peers.
  pull @0 (pull :PresencePull) -> (reply :PresenceReply);
  # Returns the changes since the sender's last pull and the age of every slot.
}
