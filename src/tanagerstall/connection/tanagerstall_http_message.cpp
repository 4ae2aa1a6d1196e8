#include "tanagerstall/connection/tanagerstall_http_message.hpp"

#include <algorithm>
#include <cctype>

namespace tanagerstall {

bool
EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  auto lower = [](char aLetter) {
    return std::tolower(static_cast<unsigned char>(aLetter));
  };
  return std::equal(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [&](char aOne, char aOther) { return lower(aOne) == lower(aOther); });
}

std::string_view
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  for (const auto& header : aHeaders) {
    if (EqualsIgnoringCase(header.name_, aName)) {
      return header.value_;
    }
  }
  return {};
}

std::size_t
CountHeaders(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  return static_cast<std::size_t>(
    std::count_if(aHeaders.begin(), aHeaders.end(), [&](const HttpHeader& aIt) {
      return EqualsIgnoringCase(aIt.name_, aName);
    }));
}

std::string_view
PathOf(const HttpRequest& aRequest)
{
  std::string_view path = aRequest.target_;
  return path.substr(0, path.find('?'));
}

HttpResponse
JsonResponse(int aStatus, std::string aBody)
{
  return { aStatus,
           { { "Content-Type", "application/json" } },
           std::move(aBody) };
}

} // namespace tanagerstall
