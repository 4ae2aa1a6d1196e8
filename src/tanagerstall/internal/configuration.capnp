@0xe7402b9d51c86fa3;
# Commands and results of the configuration group.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("tanagerstall::wire");

struct RecordChange {
  key @0 :Text;
  # Written "kind/name".
  expectedVersion @1 :Int64;
  # The record's current version as the writer knows it; -1 to overwrite any
  # version, 0 if the record must not exist.
  deleted @2 :Bool;
  body @3 :Text;
  # JSON in schema 1 or 2, as the writer submitted it.
}

struct ConfigurationCommand {
  operationId @0 :Text;
  # Identifies a resent command, which is applied only once. If it is empty,
  # resent commands are not recognised.
  author @1 :Text;
  changes @2 :List(RecordChange);
  # Applied all or none.
}

struct StoredRecord {
  key @0 :Text;
  version @1 :UInt64;
  revision @2 :UInt64;
  deleted @3 :Bool;
  body @4 :Text;
  # Canonical JSON.
  author @5 :Text;
}

struct RecordRefusal {
  record @0 :Text;
  field @1 :Text;
  message @2 :Text;
}

enum ChangeAction {
  unchanged @0;
  created @1;
  changed @2;
  deleted @3;
}

struct ChangeOutcome {
  key @0 :Text;
  action @1 :ChangeAction;
  version @2 :UInt64;
  # The record's version after the change.
  before @3 :Text;
  # Canonical JSON before and after the change; set by a check only.
  after @4 :Text;
}

struct ConfigurationResult {
  applied @0 :Bool;
  # Of a check, whether the command would be applied.
  revision @1 :UInt64;
  conflicts @2 :List(StoredRecord);
  # The stored records whose version is not the expected one.
  refusals @3 :List(RecordRefusal);
  changes @4 :List(ChangeOutcome);
}

struct ConfigurationQuery {
  union {
    all @0 :Void;
    key @1 :Text;
    history @2 :Text;
    check @3 :ConfigurationCommand;
    # Returns the ConfigurationResult of the command without applying it.
    revision @4 :Void;
  }
}

struct ConfigurationQueryResult {
  revision @0 :UInt64;
  records @1 :List(StoredRecord);
}

struct AppliedOperation {
  operationId @0 :Text;
  contentHash @1 :UInt64;
  result @2 :Data;
}

struct ConfigurationSnapshot {
  revision @0 :UInt64;
  records @1 :List(StoredRecord);
  history @2 :List(StoredRecord);
  operations @3 :List(AppliedOperation);
  # In the order in which they were applied.
  deltasFrom @4 :UInt64;
  # Deleted records up to this revision may have been removed, so updates that
  # contain only changes are available from this revision on.
}
