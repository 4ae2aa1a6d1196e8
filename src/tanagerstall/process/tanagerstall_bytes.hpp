#ifndef TANAGERSTALL_BYTES_HPP_INCLUDED
#define TANAGERSTALL_BYTES_HPP_INCLUDED

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerstall {

using Bytes = std::vector<std::uint8_t>;
using BytesView = std::span<const std::uint8_t>;

inline BytesView
ViewOf(std::string_view aText)
{
  return { reinterpret_cast<const std::uint8_t*>(aText.data()), aText.size() };
}

inline std::string
TextOf(BytesView aBytes)
{
  return { reinterpret_cast<const char*>(aBytes.data()), aBytes.size() };
}

/// Returns the 64-bit XXH3 checksum, which is not cryptographic.
std::uint64_t
Checksum(BytesView aBytes, std::uint64_t aSeed = 0);

/// Returns the SHA-256 digest in lower-case hexadecimal. Throws
/// std::runtime_error if OpenSSL fails to compute it.
std::string
Sha256Hex(std::string_view aText);

/// Returns the number in lower-case hexadecimal, without leading zeros.
std::string
ToHex(std::uint64_t aNumber);

/// Returns `aCount` bytes of std::random_device in lower-case hexadecimal.
std::string
RandomHex(std::size_t aCount);

} // namespace tanagerstall

#endif
