#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <array>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <openssl/evp.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <xxhash.h>

namespace tanagerstall {

std::uint64_t
Checksum(BytesView aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::string
Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  if (EVP_Digest(aText.data(),
                 aText.size(),
                 digest.data(),
                 &length,
                 EVP_sha256(),
                 nullptr) != 1) {
    throw std::runtime_error("OpenSSL failed to compute a SHA-256 digest");
  }
  std::string hex;
  boost::algorithm::hex_lower(
    digest.begin(), digest.begin() + length, std::back_inserter(hex));
  return hex;
}

std::string
ToHex(std::uint64_t aNumber)
{
  std::ostringstream text;
  text << std::hex << aNumber;
  return text.str();
}

std::string
RandomHex(std::size_t aCount)
{
  std::random_device source;
  std::vector<unsigned char> bytes(aCount);
  for (auto& byte : bytes) {
    byte = static_cast<unsigned char>(source());
  }
  std::string hex;
  boost::algorithm::hex_lower(
    bytes.begin(), bytes.end(), std::back_inserter(hex));
  return hex;
}

} // namespace tanagerstall
