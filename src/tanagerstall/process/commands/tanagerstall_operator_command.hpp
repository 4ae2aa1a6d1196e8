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

/// Exit statuses of tanagerctl.
enum ExitStatus
{
  ExitDone = 0,
  /// The request was refused and nothing was applied.
  ExitRefused = 1,
  /// The command line is wrong, or a file that it names can't be read.
  ExitUsage = 2,
  /// No process answered, or the control cluster was unavailable; the outcome
  /// is unknown.
  ExitUnreachable = 3,
  /// A record has another version than expected.
  ExitConflict = 4,
  /// "diff" found differences.
  ExitDifferent = 5
};

/// Arguments, options and connections of one run of tanagerctl.
struct CommandContext
{
  using Call =
    std::function<tl::expected<HttpResponse, TransportError>(HttpRequest)>;
  using CallEach = std::function<
    std::vector<std::pair<Address, tl::expected<HttpResponse, TransportError>>>(
      HttpRequest)>;

  boost::program_options::variables_map settings_;
  /// Positional arguments after the command's name.
  std::vector<std::string> arguments_;
  /// Sends a request to the first process that can answer.
  Call call_;
  /// Sends a request to every process and returns all responses.
  CallEach callEach_;
};

/// One command of tanagerctl, such as "apply".
struct OperatorCommand
{
  std::string name_;
  std::string usage_;
  /// Adds the command's own options; may be empty.
  std::function<void(boost::program_options::options_description&)> addOptions_;
  std::function<int(const CommandContext&)> run_;
  /// Option with the addresses of the processes to call; empty if the command
  /// calls none.
  std::string addressOption_ = "control";
};

/// Prints the body of a response with status 200 to standard output, and any
/// other response or a transport error to standard error. Returns the exit
/// status.
int
ReportAnswer(const tl::expected<HttpResponse, TransportError>& aAnswer);

/// Adds the option --output json|text.
void
AddOutputOption(boost::program_options::options_description& aOptions);

/// Returns whether the option --output json was given.
bool
IsJsonOutput(const CommandContext& aContext);

/// Commands that print latency histograms and refusal counts of entries.
std::vector<OperatorCommand>
HistogramCommands();

/// Commands that read and change configuration records.
std::vector<OperatorCommand>
RecordCommands();

/// Commands that list and settle requests in the ledger.
std::vector<OperatorCommand>
RequestCommands();

/// Commands that list and change the members of the control cluster.
std::vector<OperatorCommand>
MemberCommands();

/// Commands that order roll-outs and show them.
std::vector<OperatorCommand>
RolloutCommands();

} // namespace tanagerstall

#endif
