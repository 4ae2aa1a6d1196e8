#ifndef TANAGERSTALL_CLIENT_HISTORY_HPP_INCLUDED
#define TANAGERSTALL_CLIENT_HISTORY_HPP_INCLUDED

#include "tanagerstall_linearizability.hpp"

#include <map>

namespace tanagerstall {

/// The history of client calls and their results, per record.
class ClientHistory
{
public:
  std::size_t CallWrite(const std::string& aKey)
  {
    std::size_t number = Call(aKey, true);
    operations_[aKey][number].value_ = "v" + std::to_string(time_);
    return number;
  }

  /// Starts a read, which is left out of the check until it has returned.
  std::size_t CallRead(const std::string& aKey)
  {
    std::size_t number = Call(aKey, false);
    notRun_.insert({ aKey, number });
    return number;
  }

  const std::string& ValueOf(const std::string& aKey, std::size_t aNumber)
  {
    return operations_[aKey][aNumber].value_;
  }

  void Return(const std::string& aKey, std::size_t aNumber)
  {
    operations_[aKey][aNumber].returned_ = ++time_;
  }

  void ReturnRead(const std::string& aKey,
                  std::size_t aNumber,
                  const std::string& aValue)
  {
    notRun_.erase({ aKey, aNumber });
    operations_[aKey][aNumber].value_ = aValue;
    Return(aKey, aNumber);
  }

  void MarkNotRun(const std::string& aKey, std::size_t aNumber)
  {
    notRun_.insert({ aKey, aNumber });
  }

  std::vector<std::string> Keys() const
  {
    std::vector<std::string> keys;
    for (const auto& [key, operations] : operations_) {
      keys.push_back(key);
    }
    return keys;
  }

  /// Adds a violation for each record whose history is not linearizable.
  void Check(std::vector<std::string>& aViolations) const
  {
    for (const auto& [key, operations] : operations_) {
      if (!LinearizabilityCheck(RelevantOperations(key, operations))
             .IsLinearizable()) {
        aViolations.push_back("the history of record " + key +
                              " is not linearizable");
      }
    }
  }

private:
  std::size_t Call(const std::string& aKey, bool aIsWrite)
  {
    auto& operations = operations_[aKey];
    operations.push_back({ aIsWrite, "", ++time_ });
    return operations.size() - 1;
  }

  /// Returns the operations that ran or may have run. A write with an unknown
  /// outcome that no read observed doesn't affect the result and is left out.
  std::vector<Operation> RelevantOperations(
    const std::string& aKey,
    const std::vector<Operation>& aAll) const
  {
    std::set<std::string> seen;
    for (const auto& operation : aAll) {
      if (!operation.isWrite_) {
        seen.insert(operation.value_);
      }
    }
    std::vector<Operation> known;
    for (std::size_t i = 0; i < aAll.size(); ++i) {
      bool matters =
        aAll[i].returned_ != Operation::kNever || seen.contains(aAll[i].value_);
      if (matters && !notRun_.contains({ aKey, i })) {
        known.push_back(aAll[i]);
      }
    }
    return known;
  }

  std::uint64_t time_ = 0;
  std::map<std::string, std::vector<Operation>> operations_;
  std::set<std::pair<std::string, std::size_t>> notRun_;
};

} // namespace tanagerstall

#endif
