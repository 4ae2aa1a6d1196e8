#ifndef TANAGERSTALL_DECLARATION_TRANSFER_HPP_INCLUDED
#define TANAGERSTALL_DECLARATION_TRANSFER_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_bytes.hpp"
#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include <cstdint>

namespace tanagerstall {

/// A declaration on its way from a control process to an entry.
struct DeclarationTransfer
{
  std::uint64_t number_ = 0;
  Bytes payload_;
};

/// The declarations of a control process, in the form in which it sends them to
/// entries.
class DeclarationHistory
{
public:
  /// Makes a declaration the newest one.
  void Add(const Declaration& aDeclaration);

  /// Returns the newest declaration for an entry that holds the declaration
  /// with the number `aHeld`, 0 for none.
  DeclarationTransfer TransferFor(std::uint64_t aHeld);

private:
  Declaration newest_;
};

/// Returns the declaration that a transfer carries.
Declaration
RestoreDeclaration(const DeclarationTransfer& aTransfer);

} // namespace tanagerstall

#endif
