#ifndef TANAGERSTALL_WIRE_HPP_INCLUDED
#define TANAGERSTALL_WIRE_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <kj/string.h>
#include <optional>
#include <string>

namespace tanagerstall {

inline std::string
ToString(capnp::Text::Reader aText)
{
  return { aText.cStr(), aText.size() };
}

inline capnp::Text::Reader
ToText(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}

inline Bytes
ToBytes(capnp::Data::Reader aData)
{
  return { aData.begin(), aData.end() };
}

inline capnp::Data::Reader
ToData(BytesView aBytes)
{
  return { aBytes.data(), aBytes.size() };
}

/// Serializes a Cap'n Proto message.
inline Bytes
Flatten(capnp::MessageBuilder& aMessage)
{
  auto words = capnp::messageToFlatArray(aMessage);
  auto bytes = words.asBytes();
  return { bytes.begin(), bytes.end() };
}

/// Reads a serialized Cap'n Proto message. Copies the bytes, which may not be
/// aligned to words.
class FlatMessage
{
public:
  explicit FlatMessage(BytesView aBytes)
    : words_(kj::heapArray<capnp::word>(
        (aBytes.size() + sizeof(capnp::word) - 1) / sizeof(capnp::word)))
  {
    std::copy(aBytes.begin(), aBytes.end(), words_.asBytes().begin());
    capnp::ReaderOptions options;
    options.traversalLimitInWords += words_.size() * kMaxTraversals;
    reader_.emplace(words_, options);
  }

  template<class Struct>
  typename Struct::Reader Root()
  {
    return reader_->getRoot<Struct>();
  }

private:
  /// How many times the whole message may be traversed, in addition to the
  /// library's default limit, which is too low for long messages.
  static constexpr std::uint64_t kMaxTraversals = 4;

  kj::Array<capnp::word> words_;
  std::optional<capnp::FlatArrayMessageReader> reader_;
};

} // namespace tanagerstall

#endif
