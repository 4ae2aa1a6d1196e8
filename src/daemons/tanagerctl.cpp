// Command-line tool for operators.
#include "tanagerstall/connection/tanagerstall_http_client.hpp"
#include "tanagerstall/connection/tanagerstall_traffic_threads.hpp"
#include "tanagerstall/process/commands/tanagerstall_log_timeline.hpp"
#include "tanagerstall/process/commands/tanagerstall_operator_command.hpp"

#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/value_semantic.hpp>
#include <deque>
#include <future>
#include <iostream>

namespace po = boost::program_options;
using namespace tanagerstall;

namespace {

/// Applies to each step of a call: connecting, sending and receiving.
constexpr Duration kTimeout = std::chrono::seconds(5);
/// Shorter, because the processes are called one after another.
constexpr Duration kStatusTimeout = std::chrono::milliseconds(1500);
constexpr Duration kRetryInterval = std::chrono::milliseconds(300);
constexpr unsigned kMaxRounds = 3;
constexpr int kUnavailable = 503;

using Answer = tl::expected<HttpResponse, TransportError>;

std::vector<OperatorCommand>
AllCommands()
{
  std::vector<OperatorCommand> commands;
  for (const auto& group : { RecordCommands(),
                             RequestCommands(),
                             HistogramCommands(),
                             MemberCommands(),
                             RolloutCommands(),
                             LogCommands() }) {
    commands.insert(commands.end(), group.begin(), group.end());
  }
  return commands;
}

void
PrintUsage(std::ostream& aOut)
{
  aOut << "tanagerctl COMMAND --control IP:port [options]\n"
       << "histogram calls entries, which --entries names; explain reads logs "
          "and needs no addresses\n\n";
  for (const auto& command : AllCommands()) {
    aOut << "  tanagerctl " << command.usage_ << "\n";
  }
}

/// Runs a task on a fiber of a traffic thread and waits until it ends.
void
RunOnFiber(const std::function<void(Fiber&)>& aTask)
{
  TrafficThreads threads(1);
  std::promise<void> ended;
  threads.Spawn([&](Fiber& aFiber) {
    aTask(aFiber);
    ended.set_value();
  });
  ended.get_future().get();
}

/// Returns whether a process answered with more than "unavailable".
bool
IsAnswered(const Answer& aAnswer)
{
  return aAnswer && aAnswer->status_ != kUnavailable;
}

/// Tries the control addresses in turn until one answers, and moves that one to
/// the front for the next call. Requests may be sent twice, because those that
/// change something carry an operation id.
Answer
CallControl(std::deque<Address>& aControl, const HttpRequest& aRequest)
{
  Answer answer = tl::make_unexpected(TransportError{
    TransportFault::ConnectFailed, "no control address was given" });
  RunOnFiber([&](Fiber& aFiber) {
    for (unsigned round = 0; round < kMaxRounds; ++round) {
      for (std::size_t i = 0; i < aControl.size(); ++i) {
        answer = FetchHttp(aFiber, aControl.front(), aRequest, kTimeout);
        if (IsAnswered(answer)) {
          return;
        }
        aControl.push_back(aControl.front());
        aControl.pop_front();
      }
      aFiber.Sleep(kRetryInterval);
    }
  });
  return answer;
}

std::vector<std::pair<Address, Answer>>
CallEachControl(const std::vector<Address>& aControl,
                const HttpRequest& aRequest)
{
  std::vector<std::pair<Address, Answer>> answers;
  RunOnFiber([&](Fiber& aFiber) {
    for (const auto& address : aControl) {
      answers.emplace_back(
        address, FetchHttp(aFiber, address, aRequest, kStatusTimeout));
    }
  });
  return answers;
}

int
RunCommand(const OperatorCommand& aCommand, int aCount, char** aArguments)
{
  po::options_description options("tanagerctl " + aCommand.usage_);
  options.add_options()("help", "print this help");
  bool needsAddresses = !aCommand.addressOption_.empty();
  if (needsAddresses) {
    options.add_options()(
      aCommand.addressOption_.c_str(),
      po::value<std::string>()->required(),
      "IP:port of the processes to call, separated by commas");
  }
  if (aCommand.addOptions_) {
    aCommand.addOptions_(options);
  }
  // Positional arguments come before the first option.
  CommandContext context;
  int first = 0;
  while (first + 1 < aCount && aArguments[first + 1][0] != '-') {
    context.arguments_.emplace_back(aArguments[++first]);
  }
  context.settings_ =
    ReadSettingsOrExit(aCount - first, aArguments + first, options);
  std::vector<Address> control;
  if (needsAddresses) {
    control =
      ReadAddressesOrExit(context.settings_, aCommand.addressOption_.c_str());
  }
  std::deque<Address> controlOrder(control.begin(), control.end());
  context.call_ = [&controlOrder](const HttpRequest& aRequest) {
    return CallControl(controlOrder, aRequest);
  };
  context.callEach_ = [control](const HttpRequest& aRequest) {
    return CallEachControl(control, aRequest);
  };
  return aCommand.run_(context);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::string name = aCount < 2 ? "" : aArguments[1];
  if (name == "--help") {
    PrintUsage(std::cout);
    return ExitDone;
  }
  for (const auto& command : AllCommands()) {
    if (command.name_ == name) {
      try {
        return RunCommand(command, aCount - 1, aArguments + 1);
      } catch (const std::exception& error) {
        std::cerr << "error: " << error.what() << "\n";
        return ExitUsage;
      }
    }
  }
  std::cerr << "error: unknown command \"" << name << "\"\n";
  PrintUsage(std::cerr);
  return ExitUsage;
}
