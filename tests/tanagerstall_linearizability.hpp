#ifndef TANAGERSTALL_LINEARIZABILITY_HPP_INCLUDED
#define TANAGERSTALL_LINEARIZABILITY_HPP_INCLUDED

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagerstall {

/// One operation on one record. Times are logical: they count calls and
/// returns.
struct Operation
{
  static constexpr std::uint64_t kNever =
    std::numeric_limits<std::uint64_t>::max();

  bool isWrite_ = false;
  std::string value_;
  std::uint64_t called_ = 0;
  /// kNever for a write whose outcome is unknown.
  std::uint64_t returned_ = kNever;
};

/// Checks whether at most 64 operations on one record are linearizable: some
/// order in which each takes effect between its call and its return yields
/// every value read. Each write has a distinct value. A write with an unknown
/// outcome may have taken effect or not.
class LinearizabilityCheck
{
public:
  explicit LinearizabilityCheck(std::vector<Operation> aOperations)
    : operations_(std::move(aOperations))
  {
  }

  bool IsLinearizable() { return Search(0, ""); }

private:
  static std::uint64_t BitOf(std::size_t aIndex)
  {
    return std::uint64_t{ 1 } << aIndex;
  }

  bool Search(std::uint64_t aDone, const std::string& aValue)
  {
    std::uint64_t firstReturn = Operation::kNever;
    bool isComplete = true;
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      if ((aDone >> i & 1U) == 0) {
        firstReturn = std::min(firstReturn, operations_[i].returned_);
        isComplete &= operations_[i].returned_ == Operation::kNever;
      }
    }
    if (isComplete) {
      return true;
    }
    if (!seen_.emplace(aDone, aValue).second) {
      return false;
    }
    // A pending read of the current value has to be ordered before the next
    // write, because each value is written only once. Ordering it first is
    // therefore right; if that isn't allowed yet, no order exists.
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      const Operation& read = operations_[i];
      if ((aDone >> i & 1U) == 0 && !read.isWrite_ && read.value_ == aValue) {
        return read.called_ <= firstReturn && Search(aDone | BitOf(i), aValue);
      }
    }
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      const Operation& write = operations_[i];
      if ((aDone >> i & 1U) == 0 && write.isWrite_ &&
          write.called_ <= firstReturn &&
          Search(aDone | BitOf(i), write.value_)) {
        return true;
      }
    }
    return false;
  }

  std::vector<Operation> operations_;
  std::set<std::pair<std::uint64_t, std::string>> seen_;
};

} // namespace tanagerstall

#endif
