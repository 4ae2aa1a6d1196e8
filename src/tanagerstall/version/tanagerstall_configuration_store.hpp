#ifndef TANAGERSTALL_CONFIGURATION_STORE_HPP_INCLUDED
#define TANAGERSTALL_CONFIGURATION_STORE_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_state_machine.hpp"
#include "tanagerstall/version/tanagerstall_configuration_check.hpp"
#include "tanagerstall/version/tanagerstall_configuration_command.hpp"
#include "tanagerstall/version/tanagerstall_operation_log.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace tanagerstall {

/// The replicated state of the configuration group: the records, a bounded
/// history of their versions, and the results of recent operations.
class ConfigurationStore
{
public:
  using ChangeHook = std::function<void(std::uint64_t aRevision)>;

  /// `aOnChange` is called after every command that changes a record and after
  /// a snapshot is installed.
  explicit ConfigurationStore(ChangeHook aOnChange = nullptr);

  /// Returns the state machine of this store for a Raft group.
  StateMachine AsStateMachine();

  std::uint64_t Revision() const { return revision_; }
  /// Returns the records changed after a revision, including deleted ones.
  std::vector<StoredRecord> ChangedAfter(std::uint64_t aRevision) const;
  /// Returns whether ChangedAfter() this revision still includes every delete.
  bool HasDeltaFrom(std::uint64_t aRevision) const;

private:
  Bytes Apply(BytesView aCommand);
  Bytes ApplyOnce(const ConfigurationCommand& aCommand);
  ConfigurationResult Execute(const ConfigurationCommand& aCommand);
  Bytes Query(BytesView aQuery) const;
  Bytes Check(const ConfigurationCommand& aCommand) const;
  Bytes TakeSnapshot() const;
  void InstallSnapshot(BytesView aSnapshot);
  void AddHistory(const StoredRecord& aRecord);
  void PruneTombstones();

  ChangeHook onChange_;
  std::uint64_t revision_ = 0;
  /// The oldest revision for which no later tombstone has been pruned.
  std::uint64_t deltasFrom_ = 0;
  RecordMap records_;
  /// Keys of the deleted records, with the revisions of their deletes.
  std::set<std::pair<std::uint64_t, std::string>> tombstones_;
  std::deque<StoredRecord> history_;
  std::size_t historyBytes_ = 0;
  OperationLog operations_;
};

} // namespace tanagerstall

#endif
