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

/// The replicated state of the configuration group.
class ConfigurationStore
{
public:
  using ChangeHook = std::function<void(std::uint64_t aRevision)>;

  /// `aOnChange` is called after every applied change.
  explicit ConfigurationStore(ChangeHook aOnChange = nullptr);

  /// The view of this store that a replicated group drives.
  StateMachine AsStateMachine();

  std::uint64_t Revision() const { return revision_; }
  /// The records that changed after a revision, deleted ones included.
  std::vector<StoredRecord> ChangedAfter(std::uint64_t aRevision) const;
  /// Whether ChangedAfter() of this revision still knows every delete.
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
  std::uint64_t deltasFrom_ = 0;
  RecordMap records_;
  /// Keys of deleted records by the revision of the delete.
  std::set<std::pair<std::uint64_t, std::string>> tombstones_;
  std::deque<StoredRecord> history_;
  std::size_t historyBytes_ = 0;
  OperationLog operations_;
};

} // namespace tanagerstall

#endif
