#ifndef TANAGERSTALL_STANDIN_HPP_INCLUDED
#define TANAGERSTALL_STANDIN_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_presence_table.hpp"
#include "tanagerstall/process/standin/tanagerstall_standin_faults.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <vector>

namespace tanagerstall {

/// The settings of a stand-in upstream.
struct StandinSettings
{
  bool isModel_ = false;
  UpstreamInfo info_;
  Address address_;
  std::vector<Address> entries_;
  /// Bearer token of announcements; empty for none.
  std::string token_;
  StandinFaults faults_;
};

/// Serves as an upstream and announces itself until a signal. Gives the exit
/// status.
int
RunStandin(StandinSettings aSettings);

} // namespace tanagerstall

#endif
