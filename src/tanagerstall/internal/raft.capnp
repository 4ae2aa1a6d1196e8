@0xd1c7a0e46b92f835;
# The replicated log: the files that members store and the messages that they
# exchange.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("tanagerstall::wire");

struct RaftMember {
  key @0 :UInt64;
  name @1 :Text;
  memberAddress @2 :Text;
  controlAddress @3 :Text;
  voter @4 :Bool;
}

struct RaftEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  union {
    empty @2 :Void;
    command @3 :Data;
    members @4 :List(RaftMember);
  }
}

struct RaftHardState {
  term @0 :UInt64;
  votedFor @1 :UInt64;
}

struct LogFrame {
  # One synced write to a log file; the first frame of a file has the base index
  # and term.
  baseIndex @0 :UInt64;
  baseTerm @1 :UInt64;
  hardState @2 :RaftHardState;
  entries @3 :List(RaftEntry);
}

struct SnapshotFrame {
  # The first frame of a snapshot file; the next frame is the state.
  index @0 :UInt64;
  term @1 :UInt64;
  members @2 :List(RaftMember);
}

struct IdentityFrame {
  # The identity file of a data folder.
  version @0 :UInt32;
  cluster @1 :Text;
  # Empty until the member has been added to a cluster.
  key @2 :UInt64;
  name @3 :Text;
  memberAddress @4 :Text;
  controlAddress @5 :Text;
}

struct RaftMessage {
  kind @0 :UInt8;
  from @1 :UInt64;
  to @2 :UInt64;
  term @3 :UInt64;
  index @4 :UInt64;
  indexTerm @5 :UInt64;
  commit @6 :UInt64;
  round @7 :UInt64;
  accepted @8 :Bool;
  entries @9 :List(RaftEntry);
  offset @10 :UInt64;
  total @11 :UInt64;
  chunk @12 :Data;
  members @13 :List(RaftMember);
}

struct Envelope {
  version @0 :UInt32;
  # The version of this protocol; a member rejects any other.
  cluster @1 :Text;
  group @2 :UInt16;
  # 0 is configuration, 1 is the ledger.
  senderAddress @3 :Text;
  message @4 :RaftMessage;
}

struct MemberReply {
  union {
    result @0 :Data;
    notLeader @1 :Text;
    unavailable @2 :Text;
    malformed @3 :Text;
  }
}

struct RepairGoal {
  # A change of a group's members that an operator requested.
  add @0 :RaftMember;
  # The member to become a voter; none if its key is 0.
  removeName @1 :Text;
  # Every other member of this name is removed; none if it is empty.
}

struct MemberStatus {
  member @0 :RaftMember;
  match @1 :UInt64;
  heard @2 :Bool;
}

struct RepairStatus {
  finished @0 :Bool;
  # Whether the goal has been reached.
  survivesLoss @1 :Bool;
  # Whether a quorum would remain after the loss of any one voter.
  voters @2 :UInt32;
  detail @3 :Text;
  # Describes what the repair is waiting for.
  members @4 :List(MemberStatus);
  leader @5 :UInt64;
  commit @6 :UInt64;
}

enum MemberCall {
  propose @0;
  query @1;
  advance @2;
  # Performs a group's next step towards a RepairGoal.
}

interface MemberPort {
  # Served by a control member to the other members.
  deliver @0 (envelope :Envelope) -> ();
  # The empty reply only shows that the connection works; it is no Raft reply.
  identify @1 () -> (version :UInt32, cluster :Text, member :RaftMember);
  call @2 (version :UInt32, cluster :Text, group :UInt16, kind :MemberCall, data :Data) -> (reply :MemberReply);
  # Runs a call that another member forwards to the leader.
}
