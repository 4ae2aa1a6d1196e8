#ifndef TANAGERSTALL_PROMPT_CODEC_HPP_INCLUDED
#define TANAGERSTALL_PROMPT_CODEC_HPP_INCLUDED

#include "tanagerstall/internal/fleet.capnp.h"
#include "tanagerstall/request/tanagerstall_prompt_evidence.hpp"

namespace tanagerstall {

void
WriteEvidence(wire::PromptEvidence::Builder aTo, const PromptEvidence& aFrom);
PromptEvidence
ReadEvidence(wire::PromptEvidence::Reader aFrom);

void
WriteVerdicts(wire::PromptVerdicts::Builder aTo, const PromptVerdicts& aFrom);
PromptVerdicts
ReadVerdicts(wire::PromptVerdicts::Reader aFrom);

} // namespace tanagerstall

#endif
