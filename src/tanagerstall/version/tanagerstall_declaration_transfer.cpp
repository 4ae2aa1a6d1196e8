#include "tanagerstall/version/tanagerstall_declaration_transfer.hpp"

namespace tanagerstall {

void
DeclarationHistory::Add(const Declaration& aDeclaration)
{
  newest_ = aDeclaration;
}

DeclarationTransfer
DeclarationHistory::TransferFor(std::uint64_t /*aHeld*/)
{
  BytesView document = ViewOf(newest_.document_);
  return { newest_.number_, Bytes(document.begin(), document.end()) };
}

Declaration
RestoreDeclaration(const DeclarationTransfer& aTransfer)
{
  return { aTransfer.number_, TextOf(aTransfer.payload_) };
}

} // namespace tanagerstall
