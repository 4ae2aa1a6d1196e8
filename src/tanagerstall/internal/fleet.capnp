@0xa8e1c5b7d2f04639;
# Messages between entries and control processes, and the commands and snapshots
# of the fleet's replicated state.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("tanagerstall::wire");
using Control = import "control.capnp";

struct NamedCount {
  name @0 :Text;
  count @1 :UInt64;
}

struct UsageWindow {
  # The number of requests that started in a time window, by organisation.
  window @0 :Int64;
  counts @1 :List(NamedCount);
}

enum DocumentEncoding {
  plain @0;
  zstd @1;
}

struct FleetCommand {
  union {
    declare :group {
      number @0 :UInt64;
      document @1 :Data;
      encoding @3 :DocumentEncoding;
      hasNumber @11 :Bool;
      # Set for any number. Earlier builds leave it unset and pass over 0.
    }
    usage @2 :UsageWindow;
    startRollout @4 :Rollout;
    # The id, state and end are left out.
    endRollout :group {
      id @5 :UInt64;
      state @6 :RolloutState;
      endedAtMs @7 :Int64;
    }
    # Members of earlier builds pass over it.
    leaves :group {
      replicas @8 :List(ReplicaFact);
      recordedAtMs @9 :Int64;
      # Unix time by the clock of the control process that proposes it.
    }
    versionStart @10 :VersionStart;
    # Members of earlier builds pass over it.
  }
}

struct VersionStart {
  # A software version of a service begins to accept work.
  service @0 :Text;
  version @1 :Text;
  startedAtMs @2 :Int64;
  # Unix time by the clock of the control process that proposes it.
}

struct RecordedLeave {
  replica @0 :ReplicaFact;
  recordedAtMs @1 :Int64;
}

struct FleetSnapshot {
  number @0 :UInt64;
  document @1 :Data;
  usage @2 :List(UsageWindow);
  rollouts @3 :List(Rollout);
  # The latest of each service.
  lastRolloutId @4 :UInt64;
  leaves @5 :List(RecordedLeave);
  versionStarts @6 :List(VersionStart);
  hasNumber @7 :Bool;
  # Whether number is that of a declaration. Earlier builds leave it unset; a
  # number other than 0 always is.
}

struct ReplicaFact {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  bornMs @4 :UInt64;
  sequence @5 :UInt64;
  slots @6 :UInt32;
  standing @7 :UInt8;
  reclaimable @8 :Bool;
  coldMs @9 :UInt32;
  expired @10 :Bool;
  # Whether the sender has not heard of it in time.
  version @11 :Text;
}

struct CostAsk {
  name @0 :Text;
  # Cost that the entry may still admit.
  held @1 :Float64;
  # Cost that the entry requests.
  need @2 :Float64;
  # The part of need that waiting requests require.
  due @3 :Float64;
  # Cost that the entry added to its budget by itself, without a grant, since
  # the last answer to it.
  taken @4 :Float64;
  # Granted cost that the entry returns unused.
  returned @5 :Float64;
}

struct ServiceLoad {
  name @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  arrivals @3 :UInt64;
  refused @4 :UInt64;
  longRunning @5 :UInt32;
  inTime @6 :UInt64;
  late @7 :UInt64;
  longInTime @8 :UInt64;
  longLate @9 :UInt64;
}

struct PromptCrash {
  part @0 :UInt64;
  loss @1 :UInt64;
  # The entry's number of the lost request.
  replica @2 :UInt64;
  ageMs @3 :UInt32;
  wasAnswered @4 :Bool;
  # Whether the entry has seen a request with the part answered.
}

struct PromptPart {
  part @0 :UInt64;
  ms @1 :UInt32;
  # The age of the last success, or what remains of the quarantine.
}

struct PromptEvidence {
  # Of requests with shared prompt parts, whose ids are the parts. Also of the
  # requests to a service, whose ids are the fingerprints.
  answered @0 :UInt64;
  lost @1 :UInt64;
  crashes @2 :List(PromptCrash);
  successes @3 :List(PromptPart);
  quarantined @4 :List(PromptPart);
  # Prompt parts and fingerprints.
}

struct ServiceEvidence {
  service @0 :Text;
  evidence @1 :PromptEvidence;
}

struct PromptVerdicts {
  revision @0 :UInt64;
  suspects @1 :List(UInt64);
  quarantined @2 :List(PromptPart);
}

struct NamedRate {
  # The rate limit that a replica has named for all entries together.
  replica @0 :Text;
  startMs @1 :UInt64;
  hasEnded @2 :Bool;
  perSecond @3 :Float64;
  ageMs @4 :UInt64;
  # Since the entry learnt it.
}

enum RolloutState {
  running @0;
  completed @1;
  rolledBack @2;
}

struct Rollout {
  id @0 :UInt64;
  service @1 :Text;
  version @2 :Text;
  durationMs @3 :UInt64;
  orderedAtMs @4 :Int64;
  # Unix time by the clock of the control process that received the order.
  state @5 :RolloutState;
  endedAtMs @6 :Int64;
}

struct RolloutDirective {
  rollout @0 :Rollout;
  requestShare @1 :Float64;
  replicaShare @2 :Float64;
}

struct RolloutCounts {
  service @0 :Text;
  id @1 :UInt64;
  newVersion @2 :Bool;
  route @3 :Text;
  sent @4 :UInt64;
  ended @5 :UInt64;
  failed @6 :UInt64;
  firstParts @7 :List(UInt64);
}

struct AdmissionWork {
  rank @0 :UInt32;
  waiting @1 :Float32;
  # Work in tokens that was sent and waits for its first response part.
  servedPerS @2 :Float32;
  peakWaitS @3 :Float32;
  # In an answer: the longest wait within the last second.
}

struct AdmissionSums {
  # Of one entry in a report, of all entries in an answer.
  service @0 :Text;
  running @1 :UInt32;
  ranks @2 :List(AdmissionWork);
}

struct StreamGroup {
  # Streams that one software version of a service began.
  service @0 :Text;
  version @1 :Text;
  # Unset where it is asked for.
  streams @2 :List(UInt64);
  waitedMs @3 :UInt32;
  # Where it is asked for: how long ago the streams were resumed.
  inferred @4 :Bool;
  # Whether no other version could have begun them.
}

struct SyncRequest {
  entry @0 :Control.EntryInfo;
  controlRun @1 :UInt64;
  # The run of the control process to which the stamp belongs.
  stamp @2 :UInt64;
  waitMs @3 :UInt32;
  usage @4 :List(UsageWindow);
  asks @5 :List(CostAsk);
  services @6 :List(ServiceLoad);
  heard @7 :UInt64;
  # The number of the newest declaration that the entry knows to exist.
  wantsDocument @8 :Bool;
  requestRate @9 :Float64;
  # Requests per second that the entry receives from callers.
  toLeader @10 :Bool;
  # Whether the entry takes the receiver for the leader.
  readsCompressed @11 :Bool;
  base @12 :UInt64;
  # The number of the declaration of which the answer may send a change; 0 for
  # none. One with number 0 is sent whole.
  promptEvidence @13 :PromptEvidence;
  # Sent to the leader.
  promptRevision @14 :UInt64;
  # The revision of the receiver's verdicts that the entry has.
  brief @15 :Bool;
  # Whether usage, services and requestRate are left out.
  namedRates @16 :List(NamedRate);
  # Sent to the leader.
  rateRevision @17 :UInt64;
  # The revision of the receiver's rate limits that the entry has.
  rolloutCounts @18 :List(RolloutCounts);
  # Sent to the leader.
  rolloutRevision @19 :UInt64;
  # The revision of the receiver's directives that the entry follows.
  admission @20 :List(AdmissionSums);
  # Sent to the leader.
  readsPackedReplicas @21 :Bool;
  requestEvidence @22 :List(ServiceEvidence);
  # Sent to the leader.
  streamStarts @23 :List(StreamGroup);
  # Sent to the leader: the streams that began at the entry and that the
  # receiver has not confirmed.
  streamPosition @24 :UInt64;
  # Confirms all streams up to these.
  wantedStreams @25 :List(StreamGroup);
  # Sent to the leader: streams that callers resume at the entry.
  hasRevision @26 :Bool;
  # Whether the entry's revision is the number of a declaration. Earlier builds
  # leave this and the next unset; a number other than 0 always is.
  hasHeard @27 :Bool;
}

struct CostGrant {
  organisation @0 :Text;
  cost @1 :Float64;
}

struct SyncReply {
  controlRun @0 :UInt64;
  stamp @1 :UInt64;
  replicas @2 :List(ReplicaFact);
  # The replicas that changed after the stamp in the request.
  planNumber @3 :UInt64;
  document @4 :Data;
  # Set only if the entry requested it and its declaration is older.
  members @5 :List(Text);
  entries @6 :UInt32;
  # The number by which the entry divides what all entries share.
  grants @7 :List(CostGrant);
  leads @8 :Bool;
  region @9 :Text;
  standby @10 :Bool;
  # Whether callers are directed to other entries.
  encoding @11 :DocumentEncoding;
  base @12 :UInt64;
  # The number of the declaration that the receiver needs to restore the
  # document; 0 for none.
  readsCompressed @13 :Bool;
  # Whether the sender applies compressed declarations.
  promptVerdicts @14 :PromptVerdicts;
  # Set only if they differ from the revision in the request.
  allowsAdvance @15 :Bool;
  # Whether requests may be admitted before their cost is granted.
  nearlyExhausted @16 :List(Text);
  # The organisations for which they may not.
  namedRates @17 :List(NamedRate);
  # Set only if they differ from the revision in the request.
  rateRevision @18 :UInt64;
  rollouts @19 :List(RolloutDirective);
  # Set only if they differ from the revision in the request.
  rolloutRevision @20 :UInt64;
  longResponses @21 :List(NamedCount);
  # Sent by the leader: for how many long responses of a service replicas are to
  # be reserved. Of a service that is left out the usual part is.
  admission @22 :List(AdmissionSums);
  # Sent by the leader.
  packedReplicas @23 :Data;
  # A message with this type that has only replicas, compressed with zstd. Sent
  # instead of replicas, if the request says that the sender reads it.
  appliesRollouts @24 :Bool;
  # Whether the sender applies the commands of roll-outs.
  streamPosition @25 :UInt64;
  # The position in the request.
  foundStreams @26 :List(StreamGroup);
  # The wanted streams of which the sender knows what began them.
  hasPlanNumber @27 :Bool;
  # Whether planNumber is that of a declaration. Earlier builds leave it unset; a
  # number other than 0 always is.
  appliesNumberZero @28 :Bool;
  # Whether the sender applies a declaration with number 0.
}

interface FleetPort {
  sync @0 (request :SyncRequest) -> (reply :SyncReply);
  # Returns when something has changed for the entry, or after waitMs.
}
