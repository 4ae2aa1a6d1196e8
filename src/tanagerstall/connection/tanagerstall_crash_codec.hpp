#ifndef TANAGERSTALL_CRASH_CODEC_HPP_INCLUDED
#define TANAGERSTALL_CRASH_CODEC_HPP_INCLUDED

#include "tanagerstall/internal/fleet.capnp.h"
#include "tanagerstall/request/tanagerstall_crash_report.hpp"

namespace tanagerstall {

void
WriteCrashes(wire::SyncRequest::Builder aTo, const CrashReport& aFrom);
CrashReport
ReadCrashes(wire::SyncRequest::Reader aFrom);

void
WriteVerdicts(wire::PromptVerdicts::Builder aTo, const CrashVerdicts& aFrom);
CrashVerdicts
ReadVerdicts(wire::PromptVerdicts::Reader aFrom);

} // namespace tanagerstall

#endif
