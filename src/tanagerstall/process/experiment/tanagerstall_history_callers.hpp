#ifndef TANAGERSTALL_HISTORY_CALLERS_HPP_INCLUDED
#define TANAGERSTALL_HISTORY_CALLERS_HPP_INCLUDED

#include "tanagerstall/process/experiment/tanagerstall_caller_history.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerstall {

/// Concurrent callers of non-idempotent requests.
struct HistorySettings
{
  std::vector<Address> entries_;
  /// Stand-ins that say what they ran.
  std::vector<Address> standins_;
  std::string organisation_;
  std::string token_;
  /// The path of the request.
  std::string target_;
  unsigned callers_ = 4;
  unsigned requestsPerCaller_ = 20;
  std::uint64_t seed_ = 1;
};

/// Runs the callers to their end. Each sends its requests one after another,
/// some to two entries at once and some without waiting, and sends the key
/// again until it hears an answer or has tried often enough.
CallerHistory
RunHistoryCallers(const HistorySettings& aSettings);

} // namespace tanagerstall

#endif
