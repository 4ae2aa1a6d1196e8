#ifndef TANAGERSTALL_PROMPT_EVIDENCE_HPP_INCLUDED
#define TANAGERSTALL_PROMPT_EVIDENCE_HPP_INCLUDED

#include <cstdint>
#include <vector>

namespace tanagerstall {

/// The ids of a prompt's parts, in order.
using PromptParts = std::vector<std::uint64_t>;

} // namespace tanagerstall

#endif
