#ifndef TANAGERSTALL_ENTRY_HPP_INCLUDED
#define TANAGERSTALL_ENTRY_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <memory>
#include <string>
#include <vector>

namespace tanagerstall {

/// The settings of an entry process.
struct EntrySettings
{
  std::string id_;
  std::string region_;
  std::string failureDomain_;
  Address callerAddress_;
  Address peerAddress_;
  std::vector<Address> control_;
  std::size_t trafficThreads_ = 2;
  /// The token required for reclaim notices over HTTP. If it is empty, all are
  /// refused.
  std::string operatorToken_;
  /// The token required for announcements of upstreams. If it is empty, no
  /// token is checked.
  std::string upstreamToken_;
};

/// The entry process: forwards callers' requests to upstreams, which announce
/// themselves to it.
class Entry
{
public:
  explicit Entry(EntrySettings aSettings);
  ~Entry();

  /// Serves until a drain, started by a shutdown signal or a reclaim notice,
  /// has ended. Returns the exit status.
  int Run();

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
