#ifndef TANAGERSTALL_DECLARATION_HPP_INCLUDED
#define TANAGERSTALL_DECLARATION_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>

namespace tanagerstall {

/// A declaration as the operator sent it, with its number.
struct Declaration
{
  std::uint64_t number_ = 0;
  std::string document_;
};

/// The number of a declaration, or nullopt where there is none, which compares
/// as lower than any number. Operators choose the numbers; 0 is one of them.
using DeclarationNumber = std::optional<std::uint64_t>;

inline DeclarationNumber
NumberOf(const std::optional<Declaration>& aDeclaration)
{
  return aDeclaration ? DeclarationNumber(aDeclaration->number_) : std::nullopt;
}

} // namespace tanagerstall

#endif
