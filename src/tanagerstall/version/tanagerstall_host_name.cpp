#include "tanagerstall/version/tanagerstall_host_name.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// The locale must not matter.
char
ToSmallLetter(char aLetter)
{
  bool isCapital = aLetter >= 'A' && aLetter <= 'Z';
  return isCapital ? static_cast<char>(aLetter - 'A' + 'a') : aLetter;
}

} // namespace

std::string
NormalizeHost(std::string_view aHost)
{
  auto bracket = aHost.starts_with('[') ? aHost.find(']') : 0;
  auto port = aHost.find(':', bracket == std::string_view::npos ? 0 : bracket);
  std::string host(aHost.substr(0, port));
  if (host.ends_with('.')) {
    host.pop_back();
  }
  std::transform(host.begin(), host.end(), host.begin(), ToSmallLetter);
  return host;
}

} // namespace tanagerstall
