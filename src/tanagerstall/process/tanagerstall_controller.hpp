#ifndef TANAGERSTALL_CONTROLLER_HPP_INCLUDED
#define TANAGERSTALL_CONTROLLER_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <filesystem>
#include <memory>

namespace tanagerstall {

/// The settings of a control process.
struct ControllerSettings
{
  std::string id_;
  std::string failureDomain_;
  Address operatorAddress_;
  Address rpcAddress_;
  Address memberAddress_;
  std::filesystem::path dataFolder_;
  /// Whether to create a new cluster with this process as its only member.
  bool isBootstrap_ = false;
};

/// The control process: a cluster member that holds replicated state, serves
/// entries over RPC and offers the operators' HTTP interface.
class Controller
{
public:
  explicit Controller(ControllerSettings aSettings);
  ~Controller();

  /// Serves until a shutdown signal arrives. Returns the exit status.
  int Run();

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace tanagerstall

#endif
