#include "tanagerstall/version/tanagerstall_operation_log.hpp"

namespace tanagerstall {

namespace {

constexpr std::size_t kMaxOperations = 10'000;
constexpr std::size_t kMaxOperationBytes = 8UL * 1024 * 1024;

std::size_t
SizeOf(const CompletedOperation& aOperation)
{
  return aOperation.id_.size() + aOperation.result_.size();
}

} // namespace

const CompletedOperation*
OperationLog::Find(const std::string& aId) const
{
  auto it = positions_.find(aId);
  return it == positions_.end() ? nullptr : &operations_[it->second - dropped_];
}

void
OperationLog::Add(CompletedOperation aOperation)
{
  positions_[aOperation.id_] = dropped_ + operations_.size();
  bytes_ += SizeOf(aOperation);
  operations_.push_back(std::move(aOperation));
  while (operations_.size() > kMaxOperations ||
         (bytes_ > kMaxOperationBytes && operations_.size() > 1)) {
    bytes_ -= SizeOf(operations_.front());
    positions_.erase(operations_.front().id_);
    operations_.pop_front();
    ++dropped_;
  }
}

void
OperationLog::Clear()
{
  *this = OperationLog();
}

} // namespace tanagerstall
