#ifndef TANAGERSTALL_OPERATOR_COMMAND_HPP_INCLUDED
#define TANAGERSTALL_OPERATOR_COMMAND_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_message.hpp"
#include "tanagerstall/connection/tanagerstall_transport_error.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace tanagerstall {

/// Exit statuses of tanagerctl: done; refused, nothing applied; wrong usage;
/// no answer, so the outcome is unknown; a version conflict; a diff found.
enum ExitStatus
{
  ExitDone = 0,
  ExitRefused = 1,
  ExitUsage = 2,
  ExitUnreachable = 3,
  ExitConflict = 4,
  ExitDifferent = 5
};

/// What a command of tanagerctl is run with.
struct CommandContext
{
  using Call =
    std::function<tl::expected<HttpResponse, TransportError>(HttpRequest)>;
  using CallEach = std::function<
    std::vector<std::pair<Address, tl::expected<HttpResponse, TransportError>>>(
      HttpRequest)>;

  boost::program_options::variables_map settings_;
  /// The words after the command's name.
  std::vector<std::string> arguments_;
  /// Sends a request to the first control process that can answer.
  Call call_;
  /// Sends a request to every control process.
  CallEach callEach_;
};

/// One command of tanagerctl, such as "apply".
struct OperatorCommand
{
  std::string name_;
  std::string usage_;
  /// Adds the options that only this command takes; may be empty.
  std::function<void(boost::program_options::options_description&)> addOptions_;
  std::function<int(const CommandContext&)> run_;
  /// The option that names the processes to call; empty for none.
  std::string addressOption_ = "control";
};

/// Prints an answer, or the error to standard error; gives the exit status.
int
ReportAnswer(const tl::expected<HttpResponse, TransportError>& aAnswer);

/// Adds --output json|text.
void
AddOutputOption(boost::program_options::options_description& aOptions);

/// Whether --output json was given.
bool
IsJsonOutput(const CommandContext& aContext);

/// The commands that show what entries have measured.
std::vector<OperatorCommand>
HistogramCommands();

/// The commands about configuration records.
std::vector<OperatorCommand>
RecordCommands();

/// The commands about requests of the ledger.
std::vector<OperatorCommand>
RequestCommands();

/// The commands about the members of the control cluster.
std::vector<OperatorCommand>
MemberCommands();

} // namespace tanagerstall

#endif
