#ifndef TANAGERSTALL_DOCUMENT_ENCODING_HPP_INCLUDED
#define TANAGERSTALL_DOCUMENT_ENCODING_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_compression.hpp"

#include <cstdint>
#include <string>

namespace tanagerstall {

/// How a declaration's document is written in messages and in the log.
enum class DocumentEncoding : std::uint8_t
{
  Plain = 0,
  /// By Compress(), possibly with another document as the reference.
  Compressed = 1
};

/// Returns the document that was encoded. `aReference` is the document to which
/// a compressed one refers; empty if it refers to none.
tl::expected<std::string, CompressionError>
DecodeDocument(DocumentEncoding aEncoding,
               BytesView aPayload,
               BytesView aReference);

} // namespace tanagerstall

#endif
