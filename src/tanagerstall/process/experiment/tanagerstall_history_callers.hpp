#ifndef TANAGERSTALL_HISTORY_CALLERS_HPP_INCLUDED
#define TANAGERSTALL_HISTORY_CALLERS_HPP_INCLUDED

#include "tanagerstall/process/experiment/tanagerstall_caller_history.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerstall {

/// Settings of concurrent callers that send non-idempotent requests.
struct HistorySettings
{
  std::vector<Address> entries_;
  /// The stand-ins that report the requests they ran.
  std::vector<Address> standins_;
  std::string organisation_;
  std::string token_;
  /// The path of the request.
  std::string target_;
  unsigned callers_ = 4;
  unsigned requestsPerCaller_ = 20;
  std::uint64_t seed_ = 1;
};

/// Runs all callers and returns what they observed. Each caller sends its
/// requests one after another, some to two entries at once and some
/// asynchronously, and retries a request until it has an answer, the outcome
/// stays unknown or the limit of attempts is reached.
CallerHistory
RunHistoryCallers(const HistorySettings& aSettings);

} // namespace tanagerstall

#endif
