#include "tanagerstall/request/tanagerstall_request_fingerprint.hpp"

#include "tanagerstall/process/tanagerstall_bytes.hpp"
#include "tanagerstall/request/tanagerstall_forwarded_request.hpp"

#include <algorithm>
#include <string>

namespace tanagerstall {

std::uint64_t
FingerprintOf(const HttpRequest& aRequest, std::string_view aOrganisation)
{
  std::string host = HostOf(aRequest);
  std::uint64_t sum = 0;
  // Each piece is hashed apart, so that no two requests differ only in where
  // one piece ends.
  for (std::string_view piece : { aOrganisation,
                                  std::string_view(aRequest.method_),
                                  std::string_view(host),
                                  std::string_view(aRequest.target_),
                                  std::string_view(aRequest.body_.Text()) }) {
    sum = Checksum(ViewOf(piece), sum);
  }
  return std::max<std::uint64_t>(sum, 1);
}

} // namespace tanagerstall
