#ifndef TANAGERSTALL_COMPRESSION_HPP_INCLUDED
#define TANAGERSTALL_COMPRESSION_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <cstddef>
#include <string>
#include <tl/expected.hpp>

namespace tanagerstall {

struct CompressionError
{
  std::string detail_;
};

/// Compresses bytes. What they have in common with `aReference` takes almost no
/// room; the same reference is needed to decompress. It may be empty.
tl::expected<Bytes, CompressionError>
Compress(BytesView aBytes, BytesView aReference);

/// Reverses Compress(). Fails if the data is damaged, if the reference is
/// another one, or if the result exceeds `aMaxSize` bytes.
tl::expected<Bytes, CompressionError>
Decompress(BytesView aCompressed, BytesView aReference, std::size_t aMaxSize);

} // namespace tanagerstall

#endif
