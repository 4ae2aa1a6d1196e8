@0x9c5be8d1a7f20346;
# Commands and results of the request ledger.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("tanagerstall::wire");

struct RecordedAnswer {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Data;
}

struct LedgerRequest {
  service @0 :Text;
  method @1 :Text;
  target @2 :Text;
  bodyHash @3 :UInt64;
  body @4 :Data;
  contentType @5 :Text;
  entry @6 :Text;
  async @7 :Bool;
  deadline @8 :Int64;
  # In milliseconds since the Unix epoch; 0 for none.
  retention @9 :Int64;
  # How long the record is kept after its answer, in milliseconds.
}

struct LedgerGrant {
  entry @0 :Text;
  nonce @1 :Text;
  upstream @2 :Text;
  incarnation @3 :UInt64;
  # The incarnation of the upstream.
  deduplicates @4 :Bool;
}

enum LedgerAction {
  accept @0;
  grant @1;
  release @2;
  complete @3;
  markUnknown @4;
  withdraw @5;
  settleRan @6;
  settleNotRun @7;
}

struct LedgerCommand {
  organisation @0 :Text;
  key @1 :Text;
  time @2 :Int64;
  # The proposer's clock, in milliseconds since the Unix epoch.
  action @3 :LedgerAction;
  version @4 :UInt64;
  request @5 :LedgerRequest;
  grant @6 :LedgerGrant;
  answer @7 :RecordedAnswer;
  reason @8 :Text;
}

enum RequestState {
  absent @0;
  accepted @1;
  granted @2;
  answered @3;
  unknown @4;
  withdrawn @5;
}

struct LedgerRecord {
  organisation @0 :Text;
  key @1 :Text;
  request @2 :LedgerRequest;
  state @3 :RequestState;
  version @4 :UInt64;
  grant @5 :LedgerGrant;
  mayHaveRun @6 :Bool;
  reason @7 :Text;
  answer @8 :RecordedAnswer;
  answerDropped @9 :Bool;
  acceptedAt @10 :Int64;
  changedAt @11 :Int64;
}

struct LedgerResult {
  applied @0 :Bool;
  conflict @1 :Bool;
  full @2 :Bool;
  malformed @3 :Bool;
  record @4 :LedgerRecord;
}

struct LedgerSnapshot {
  records @0 :List(LedgerRecord);
  lastVersion @1 :UInt64;
  time @2 :Int64;
}

struct LedgerQuery {
  union {
    record :group {
      organisation @0 :Text;
      key @1 :Text;
    }
    list :group {
      state @2 :RequestState;
      organisation @3 :Text;
      limit @4 :UInt32;
    }
  }
}

struct LedgerQueryResult {
  records @0 :List(LedgerRecord);
}
