#ifndef TANAGERSTALL_CRASH_REPORT_HPP_INCLUDED
#define TANAGERSTALL_CRASH_REPORT_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerstall {

/// The ids of a prompt's parts, in order.
using PromptParts = std::vector<std::uint64_t>;

/// What may be the cause if a request crashes its replica. Each of these has an
/// id, by which crashes are connected.
struct RequestCauses
{
  /// The shared parts of its prompt.
  std::span<const std::uint64_t> parts_;
  /// The request itself, by its fingerprint; 0 for none.
  std::uint64_t request_ = 0;
  std::string_view service_;
};

/// A replica was lost while it began to answer a request with this possible
/// cause.
struct ReportedCrash
{
  std::uint64_t cause_ = 0;
  /// The entry's number of the lost request, counted from 1.
  std::uint64_t loss_ = 0;
  /// Identifies the replica.
  std::uint64_t replica_ = 0;
  std::chrono::milliseconds age_{ 0 };
  /// Whether the entry has seen a request with the cause answered.
  bool wasAnswered_ = false;
};

/// The last request with this possible cause that was answered whole.
struct ReportedSuccess
{
  std::uint64_t cause_ = 0;
  std::chrono::milliseconds age_{ 0 };
};

/// Requests with the cause are refused for this long.
struct QuarantinedCause
{
  std::uint64_t cause_ = 0;
  std::chrono::milliseconds remaining_{ 0 };
};

/// What an entry has seen of a group of requests.
struct LossEvidence
{
  /// Requests since the entry started: those that were answered whole, and
  /// those whose replica was lost as it began to answer.
  std::uint64_t answered_ = 0;
  std::uint64_t lost_ = 0;
  std::vector<ReportedCrash> crashes_;
  /// For the causes that the leader suspects.
  std::vector<ReportedSuccess> successes_;
};

/// What an entry knows of the causes of crashes.
struct CrashReport
{
  /// Requests with shared prompt parts; these are the possible causes.
  LossEvidence prompts_;
  /// All requests by service; the possible causes are the requests themselves.
  std::map<std::string, LossEvidence> services_;
  std::vector<QuarantinedCause> quarantined_;

  /// The number of lost requests in all groups.
  std::uint64_t Lost() const
  {
    std::uint64_t lost = prompts_.lost_;
    for (const auto& [service, evidence] : services_) {
      lost += evidence.lost_;
    }
    return lost;
  }
};

/// What the leader has found out about the causes of crashes.
struct CrashVerdicts
{
  /// Changes with the verdicts; 0 if there are none yet.
  std::uint64_t revision_ = 0;
  /// Causes of which entries report whether requests with them succeed.
  std::vector<std::uint64_t> suspects_;
  std::vector<QuarantinedCause> quarantined_;
};

} // namespace tanagerstall

#endif
