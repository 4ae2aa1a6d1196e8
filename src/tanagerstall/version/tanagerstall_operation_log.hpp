#ifndef TANAGERSTALL_OPERATION_LOG_HPP_INCLUDED
#define TANAGERSTALL_OPERATION_LOG_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace tanagerstall {

/// A command that has run, with the encoded result.
struct CompletedOperation
{
  std::string id_;
  /// Identifies the command's content, to detect a reused id.
  std::uint64_t contentHash_ = 0;
  Bytes result_;
};

/// The results of recent operations by id, for deduplication. Bounded in number
/// and bytes; the oldest are evicted first.
class OperationLog
{
public:
  /// Returns the operation with this id, or nullptr.
  const CompletedOperation* Find(const std::string& aId) const;
  /// Adds an operation whose id must not be in the log yet.
  void Add(CompletedOperation aOperation);
  /// Returns the operations from the oldest to the newest.
  const std::deque<CompletedOperation>& All() const { return operations_; }
  void Clear();

private:
  std::deque<CompletedOperation> operations_;
  /// For each id, the number of operations added before it, including those
  /// evicted since.
  std::map<std::string, std::uint64_t> positions_;
  /// The number of evicted operations.
  std::uint64_t dropped_ = 0;
  std::size_t bytes_ = 0;
};

} // namespace tanagerstall

#endif
