#ifndef TANAGERSTALL_DECLARATION_TRANSFER_HPP_INCLUDED
#define TANAGERSTALL_DECLARATION_TRANSFER_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_compression.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include <cstdint>
#include <deque>
#include <map>

namespace tanagerstall {

/// What the receiver of a declaration can restore it from.
struct TransferCapability
{
  bool readsCompressed_ = false;
  /// The number of the declaration that it holds.
  DeclarationNumber base_;
};

/// A declaration on its way from a control process to an entry.
struct DeclarationTransfer
{
  std::uint64_t number_ = 0;
  DocumentEncoding encoding_ = DocumentEncoding::Plain;
  /// The number of the declaration that the receiver needs to restore this one.
  DeclarationNumber base_;
  Bytes payload_;
};

/// The last declarations of a control process, which it sends to entries as
/// changes of one that they hold.
class DeclarationHistory
{
public:
  /// Makes a declaration the newest one.
  void Add(const Declaration& aDeclaration);

  /// Returns the newest declaration: as a change of the receiver's base if that
  /// is among the last ones, else whole.
  DeclarationTransfer TransferFor(const TransferCapability& aReceiver);

private:
  const Declaration* Find(const DeclarationNumber& aNumber) const;
  const Bytes& CompressedFor(const Declaration* aBase);
  void Trim();

  /// Oldest first.
  std::deque<Declaration> declarations_;
  /// The newest declaration in compressed form, by the number of its base.
  std::map<DeclarationNumber, Bytes> compressed_;
};

/// Returns the declaration that a transfer carries. Fails if it is a change of
/// another declaration than `aHeld`, or damaged.
tl::expected<Declaration, CompressionError>
RestoreDeclaration(const DeclarationTransfer& aTransfer,
                   const std::optional<Declaration>& aHeld);

} // namespace tanagerstall

#endif
