#include "tanagerstall/version/tanagerstall_document_encoding.hpp"

namespace tanagerstall {

namespace {

constexpr std::size_t kMaxDocumentBytes = 64U << 20U;

} // namespace

tl::expected<std::string, CompressionError>
DecodeDocument(DocumentEncoding aEncoding,
               BytesView aPayload,
               BytesView aReference)
{
  switch (aEncoding) {
    case DocumentEncoding::Plain:
      return TextOf(aPayload);
    case DocumentEncoding::Compressed:
      return Decompress(aPayload, aReference, kMaxDocumentBytes)
        .map([](const Bytes& aBytes) { return TextOf(aBytes); });
  }
  return tl::make_unexpected(CompressionError{ "unknown encoding" });
}

} // namespace tanagerstall
