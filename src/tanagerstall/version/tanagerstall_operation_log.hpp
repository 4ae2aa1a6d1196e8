#ifndef TANAGERSTALL_OPERATION_LOG_HPP_INCLUDED
#define TANAGERSTALL_OPERATION_LOG_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace tanagerstall {

/// One answered operation.
struct CompletedOperation
{
  std::string id_;
  std::uint64_t contentHash_ = 0;
  Bytes result_;
};

/// The first answers to the newest operations, oldest dropped first.
class OperationLog
{
public:
  /// The first answer to an operation, or nullptr.
  const CompletedOperation* Find(const std::string& aId) const;
  /// Keeps an answer; the id must be new.
  void Add(CompletedOperation aOperation);
  /// From the oldest to the newest.
  const std::deque<CompletedOperation>& All() const { return operations_; }
  void Clear();

private:
  std::deque<CompletedOperation> operations_;
  /// Ids and the count of operations before them, dropped ones included.
  std::map<std::string, std::uint64_t> positions_;
  std::uint64_t dropped_ = 0;
  std::size_t bytes_ = 0;
};

} // namespace tanagerstall

#endif
