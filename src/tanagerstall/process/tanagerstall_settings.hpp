#ifndef TANAGERSTALL_SETTINGS_HPP_INCLUDED
#define TANAGERSTALL_SETTINGS_HPP_INCLUDED

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace tanagerstall {

/// A setting that is missing, unknown or malformed, in words for a person.
struct SettingsError
{
  std::string message_;
};

/// An IP address with a port, as settings give it.
struct Address
{
  std::string host_;
  std::uint16_t port_ = 0;

  bool operator==(const Address&) const = default;
  std::string ToString() const;
};

/// Reads "IP:port"; the IPv6 form is "[IP]:port".
tl::expected<Address, SettingsError>
ParseAddress(std::string_view aText);

/// Reads flags, then the environment: --peer-address is
/// TANAGERSTALL_PEER_ADDRESS. A flag goes before the variable.
tl::expected<boost::program_options::variables_map, SettingsError>
ReadSettings(int aCount,
             const char* const* aArguments,
             const boost::program_options::options_description& aOptions);

/// The options that every daemon has: --help, --version, --check-settings.
boost::program_options::options_description
DaemonOptions(const char* aCaption);

/// Reads the arguments of a daemon. Prints help, the version or the error and
/// ends the process where there is nothing to run: status 2 on an error, else
/// 0.
boost::program_options::variables_map
ReadSettingsOrExit(int aCount,
                   const char* const* aArguments,
                   const boost::program_options::options_description& aOptions);

/// Ends the process with status 0 where the settings, which have been found
/// valid, were only to be checked.
void
ExitIfCheckOnly(const boost::program_options::variables_map& aSettings);

/// The address that a setting of a daemon holds. Prints the error and ends the
/// process with status 2 where it is none.
Address
ReadAddressOrExit(const boost::program_options::variables_map& aSettings,
                  const char* aName);

/// As ReadAddressOrExit(), for a list separated by commas.
std::vector<Address>
ReadAddressesOrExit(const boost::program_options::variables_map& aSettings,
                    const char* aName);

/// Splits "a,b,c"; empty parts are dropped.
std::vector<std::string>
SplitList(std::string_view aText);

} // namespace tanagerstall

#endif
