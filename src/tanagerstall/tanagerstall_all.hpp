#ifndef TANAGERSTALL_ALL_HPP_INCLUDED
#define TANAGERSTALL_ALL_HPP_INCLUDED

// Includes the headers that a program needs to embed the system's processes,
// records and scheduling. Include single headers where only a few are needed.

#include "tanagerstall/process/metrics/tanagerstall_metrics.hpp"
#include "tanagerstall/process/standin/tanagerstall_standin.hpp"
#include "tanagerstall/process/tanagerstall_controller.hpp"
#include "tanagerstall/process/tanagerstall_entry.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"
#include "tanagerstall/process/tanagerstall_settings.hpp"
#include "tanagerstall/request/tanagerstall_completion_stream.hpp"
#include "tanagerstall/request/tanagerstall_ledger.hpp"
#include "tanagerstall/request/tanagerstall_scheduler.hpp"
#include "tanagerstall/version/tanagerstall_configuration.hpp"
#include "tanagerstall/version/tanagerstall_record_codec.hpp"

#endif
