#ifndef TANAGERSTALL_SETTINGS_HPP_INCLUDED
#define TANAGERSTALL_SETTINGS_HPP_INCLUDED

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace tanagerstall {

/// Describes, in a message for operators, a setting that is missing, unknown or
/// malformed.
struct SettingsError
{
  std::string message_;
};

/// An IP address with a port.
struct Address
{
  std::string host_;
  std::uint16_t port_ = 0;

  bool operator==(const Address&) const = default;
  /// Returns "IP:port", with an IPv6 address in brackets.
  std::string ToString() const;
};

/// Parses "IP:port" or, for IPv6, "[IP]:port". Fails if the host is no IP
/// address.
tl::expected<Address, SettingsError>
ParseAddress(std::string_view aText);

/// Parses the flags and the environment, in which TANAGERSTALL_PEER_ADDRESS
/// sets
/// --peer-address. A flag takes precedence over its variable.
tl::expected<boost::program_options::variables_map, SettingsError>
ReadSettings(int aCount,
             const char* const* aArguments,
             const boost::program_options::options_description& aOptions);

/// Returns the options of every daemon: --help, --version, --check-settings.
boost::program_options::options_description
DaemonOptions(const char* aCaption);

/// Calls ReadSettings(). On an error, prints it and ends the process with
/// status
/// 2. For --help or --version, prints the text and ends it with status 0.
boost::program_options::variables_map
ReadSettingsOrExit(int aCount,
                   const char* const* aArguments,
                   const boost::program_options::options_description& aOptions);

/// Ends the process with status 0 if --check-settings is set. Call it after all
/// settings have been validated.
void
ExitIfCheckOnly(const boost::program_options::variables_map& aSettings);

/// Returns the address in the setting `aName`. If it is malformed, prints an
/// error and ends the process with status 2.
Address
ReadAddressOrExit(const boost::program_options::variables_map& aSettings,
                  const char* aName);

/// Like ReadAddressOrExit(), for a comma-separated list.
std::vector<Address>
ReadAddressesOrExit(const boost::program_options::variables_map& aSettings,
                    const char* aName);

/// Splits a comma-separated list and drops empty parts.
std::vector<std::string>
SplitList(std::string_view aText);

} // namespace tanagerstall

#endif
