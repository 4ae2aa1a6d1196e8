#include "tanagerstall/process/tanagerstall_compression.hpp"

#include <algorithm>
#include <bit>
#include <memory>
#include <zstd.h>

namespace tanagerstall {

namespace {

/// The fastest level: control processes have little processor time.
constexpr int kLevel = 1;
/// Limits of the window, as powers of two in bytes. The window spans the
/// reference and the data.
constexpr int kMinWindowLog = 18;
constexpr int kMaxWindowLog = 27;

using Compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using Decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

int
WindowLogFor(std::size_t aSize)
{
  return std::clamp(
    static_cast<int>(std::bit_width(aSize)), kMinWindowLog, kMaxWindowLog);
}

tl::unexpected<CompressionError>
Failure(std::size_t aCode)
{
  return tl::make_unexpected(CompressionError{ ZSTD_getErrorName(aCode) });
}

} // namespace

tl::expected<Bytes, CompressionError>
Compress(BytesView aBytes, BytesView aReference)
{
  Compressor context(ZSTD_createCCtx(), ZSTD_freeCCtx);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter(context.get(),
                         ZSTD_c_windowLog,
                         WindowLogFor(aBytes.size() + aReference.size()));
  ZSTD_CCtx_refPrefix(context.get(), aReference.data(), aReference.size());
  Bytes compressed(ZSTD_compressBound(aBytes.size()));
  std::size_t size = ZSTD_compress2(context.get(),
                                    compressed.data(),
                                    compressed.size(),
                                    aBytes.data(),
                                    aBytes.size());
  if (ZSTD_isError(size) != 0) {
    return Failure(size);
  }
  compressed.resize(size);
  return compressed;
}

tl::expected<Bytes, CompressionError>
Decompress(BytesView aCompressed, BytesView aReference, std::size_t aMaxSize)
{
  auto stated =
    ZSTD_getFrameContentSize(aCompressed.data(), aCompressed.size());
  if (stated > aMaxSize) {
    return tl::make_unexpected(
      CompressionError{ "no size stated, or more than allowed" });
  }
  Decompressor context(ZSTD_createDCtx(), ZSTD_freeDCtx);
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kMaxWindowLog);
  ZSTD_DCtx_refPrefix(context.get(), aReference.data(), aReference.size());
  Bytes bytes(stated);
  std::size_t size = ZSTD_decompressDCtx(context.get(),
                                         bytes.data(),
                                         bytes.size(),
                                         aCompressed.data(),
                                         aCompressed.size());
  if (ZSTD_isError(size) != 0) {
    return Failure(size);
  }
  bytes.resize(size);
  return bytes;
}

} // namespace tanagerstall
