#include "tanagerstall/process/tanagerstall_settings.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/program_options/parsers.hpp>
#include <charconv>
#include <cstdlib>
#include <iostream>

namespace tanagerstall {

namespace po = boost::program_options;

namespace {

constexpr std::string_view kEnvironmentPrefix = "TANAGERSTALL_";

/// Returns the option that an environment variable sets, or "" if it sets none.
std::string
OptionOfVariable(const std::string& aVariable,
                 const po::options_description& aOptions)
{
  if (!aVariable.starts_with(kEnvironmentPrefix)) {
    return "";
  }
  std::string option;
  for (char letter : aVariable.substr(kEnvironmentPrefix.size())) {
    option +=
      letter == '_'
        ? '-'
        : static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return aOptions.find_nothrow(option, false) != nullptr ? option : "";
}

} // namespace

std::string
Address::ToString() const
{
  bool isV6 = host_.find(':') != std::string::npos;
  return (isV6 ? "[" + host_ + "]" : host_) + ":" + std::to_string(port_);
}

tl::expected<Address, SettingsError>
ParseAddress(std::string_view aText)
{
  auto fail = [&] {
    return tl::make_unexpected(SettingsError{
      "not an IP address with a port: \"" + std::string(aText) + "\"" });
  };
  auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return fail();
  }
  std::string_view host = aText.substr(0, colon);
  std::string_view port = aText.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  Address address{ std::string(host), 0 };
  auto [end, error] =
    std::from_chars(port.data(), port.data() + port.size(), address.port_);
  if (error != std::errc() || end != port.data() + port.size()) {
    return fail();
  }
  boost::system::error_code badHost;
  boost::asio::ip::make_address(address.host_, badHost);
  if (badHost) {
    return fail();
  }
  return address;
}

tl::expected<po::variables_map, SettingsError>
ReadSettings(int aCount,
             const char* const* aArguments,
             const po::options_description& aOptions)
{
  po::variables_map settings;
  try {
    po::store(po::parse_command_line(aCount, aArguments, aOptions), settings);
    po::store(po::parse_environment(aOptions,
                                    [&](const std::string& aVariable) {
                                      return OptionOfVariable(aVariable,
                                                              aOptions);
                                    }),
              settings);
    if (settings.count("help") + settings.count("version") == 0) {
      po::notify(settings);
    }
  } catch (const po::error& error) {
    return tl::make_unexpected(SettingsError{ error.what() });
  }
  return settings;
}

po::options_description
DaemonOptions(const char* aCaption)
{
  po::options_description options(aCaption);
  options.add_options()("help", "print this help")(
    "version", "print the version")("check-settings",
                                    "check the settings and exit");
  return options;
}

void
ExitIfCheckOnly(const po::variables_map& aSettings)
{
  if (aSettings.count("check-settings") != 0) {
    std::cout << "the settings are valid\n" << std::flush;
    EndProcess(0);
  }
}

po::variables_map
ReadSettingsOrExit(int aCount,
                   const char* const* aArguments,
                   const po::options_description& aOptions)
{
  auto settings = ReadSettings(aCount, aArguments, aOptions);
  if (!settings) {
    std::cerr << "error: " << settings.error().message_ << "\n";
    std::exit(2);
  }
  if (settings->count("help") != 0) {
    std::cout << aOptions;
    std::exit(0);
  }
  if (settings->count("version") != 0) {
    std::cout << "tanagerstall " << TANAGERSTALL_VERSION << "\n";
    std::exit(0);
  }
  return *settings;
}

namespace {

Address
ParseAddressOrExit(const std::string& aText, const char* aName)
{
  auto address = ParseAddress(aText);
  if (!address) {
    std::cerr << "error: --" << aName << ": " << address.error().message_
              << "\n";
    std::exit(2);
  }
  return *address;
}

} // namespace

Address
ReadAddressOrExit(const po::variables_map& aSettings, const char* aName)
{
  return ParseAddressOrExit(aSettings[aName].as<std::string>(), aName);
}

std::vector<Address>
ReadAddressesOrExit(const po::variables_map& aSettings, const char* aName)
{
  std::vector<Address> addresses;
  for (const auto& part : SplitList(aSettings[aName].as<std::string>())) {
    addresses.push_back(ParseAddressOrExit(part, aName));
  }
  return addresses;
}

std::vector<std::string>
SplitList(std::string_view aText)
{
  std::vector<std::string> parts;
  while (!aText.empty()) {
    auto comma = aText.find(',');
    auto part = aText.substr(0, comma);
    if (!part.empty()) {
      parts.emplace_back(part);
    }
    if (comma == std::string_view::npos) {
      break;
    }
    aText.remove_prefix(comma + 1);
  }
  return parts;
}

} // namespace tanagerstall
