#include "tanagerstall/version/tanagerstall_declaration_transfer.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// Entries that miss more changes than this get a whole declaration.
constexpr std::size_t kMaxDeclarations = 16;
constexpr std::size_t kMaxBytes = 8U << 20U;

Bytes
CopyOf(BytesView aBytes)
{
  return { aBytes.begin(), aBytes.end() };
}

} // namespace

void
DeclarationHistory::Add(const Declaration& aDeclaration)
{
  compressed_.clear();
  declarations_.push_back(aDeclaration);
  Trim();
}

void
DeclarationHistory::Trim()
{
  std::size_t bytes = 0;
  for (const auto& declaration : declarations_) {
    bytes += declaration.document_.size();
  }
  while (declarations_.size() > 1 &&
         (declarations_.size() > kMaxDeclarations || bytes > kMaxBytes)) {
    bytes -= declarations_.front().document_.size();
    declarations_.pop_front();
  }
}

const Declaration*
DeclarationHistory::Find(const DeclarationNumber& aNumber) const
{
  auto it = std::find_if(
    declarations_.begin(), declarations_.end(), [&](const Declaration& aIt) {
      return aIt.number_ == aNumber;
    });
  return it == declarations_.end() ? nullptr : &*it;
}

const Bytes&
DeclarationHistory::CompressedFor(const Declaration* aBase)
{
  DeclarationNumber number;
  BytesView reference;
  if (aBase != nullptr) {
    number = aBase->number_;
    reference = ViewOf(aBase->document_);
  }
  auto it = compressed_.find(number);
  if (it == compressed_.end()) {
    Bytes bytes = Compress(ViewOf(declarations_.back().document_), reference)
                    .value_or(Bytes());
    it = compressed_.emplace(number, std::move(bytes)).first;
  }
  return it->second;
}

DeclarationTransfer
DeclarationHistory::TransferFor(const TransferCapability& aReceiver)
{
  if (declarations_.empty()) {
    return {};
  }
  const Declaration& newest = declarations_.back();
  if (aReceiver.readsCompressed_) {
    const Declaration* base = Find(aReceiver.base_);
    const Bytes& compressed = CompressedFor(base);
    if (!compressed.empty()) {
      return { newest.number_,
               DocumentEncoding::Compressed,
               base == nullptr ? std::nullopt : aReceiver.base_,
               compressed };
    }
  }
  return { newest.number_,
           DocumentEncoding::Plain,
           std::nullopt,
           CopyOf(ViewOf(newest.document_)) };
}

tl::expected<Declaration, CompressionError>
RestoreDeclaration(const DeclarationTransfer& aTransfer,
                   const std::optional<Declaration>& aHeld)
{
  if (aTransfer.base_ && aTransfer.base_ != NumberOf(aHeld)) {
    return tl::make_unexpected(
      CompressionError{ "a change of another declaration" });
  }
  BytesView reference;
  if (aTransfer.base_) {
    reference = ViewOf(aHeld->document_);
  }
  return DecodeDocument(aTransfer.encoding_, aTransfer.payload_, reference)
    .map([&](std::string aDocument) {
      return Declaration{ aTransfer.number_, std::move(aDocument) };
    });
}

} // namespace tanagerstall
