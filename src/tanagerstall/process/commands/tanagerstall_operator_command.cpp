#include "tanagerstall/process/commands/tanagerstall_operator_command.hpp"

#include <boost/program_options/errors.hpp>
#include <boost/program_options/value_semantic.hpp>
#include <iostream>

namespace tanagerstall {

int
ReportAnswer(const tl::expected<HttpResponse, TransportError>& aAnswer)
{
  if (!aAnswer) {
    std::cerr << "error: " << ToString(aAnswer.error().fault_) << ": "
              << aAnswer.error().detail_ << "\n";
    return ExitUnreachable;
  }
  if (aAnswer->status_ == 200) {
    std::cout << aAnswer->body_ << "\n";
    return ExitDone;
  }
  std::cerr << aAnswer->body_ << "\n";
  return aAnswer->status_ == 409 ? ExitConflict : ExitRefused;
}

void
AddOutputOption(boost::program_options::options_description& aOptions)
{
  namespace po = boost::program_options;
  auto check = [](const std::string& aFormat) {
    if (aFormat != "text" && aFormat != "json") {
      throw po::validation_error(
        po::validation_error::invalid_option_value, "output", aFormat);
    }
  };
  aOptions.add_options()(
    "output",
    po::value<std::string>()->default_value("text")->notifier(check),
    "text or json");
}

bool
IsJsonOutput(const CommandContext& aContext)
{
  return aContext.settings_["output"].as<std::string>() == "json";
}

} // namespace tanagerstall
