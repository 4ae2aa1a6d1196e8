#ifndef TANAGERSTALL_STANDIN_HPP_INCLUDED
#define TANAGERSTALL_STANDIN_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_presence_table.hpp"
#include "tanagerstall/process/standin/tanagerstall_standin_faults.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <vector>

namespace tanagerstall {

/// Settings of a stand-in, an upstream for tests and demonstrations.
struct StandinSettings
{
  /// Whether it serves completions; otherwise it is a plain service.
  bool isModel_ = false;
  UpstreamInfo info_;
  Address address_;
  std::vector<Address> entries_;
  /// Bearer token of announcements; empty for none.
  std::string token_;
  StandinFaults faults_;
};

/// Serves requests and announces itself to the entries until a signal arrives.
/// Returns the exit status.
int
RunStandin(StandinSettings aSettings);

} // namespace tanagerstall

#endif
