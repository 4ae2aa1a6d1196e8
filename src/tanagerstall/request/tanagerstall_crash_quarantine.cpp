#include "tanagerstall/request/tanagerstall_crash_quarantine.hpp"

#include "tanagerstall/process/tanagerstall_bytes.hpp"

#include <algorithm>

namespace tanagerstall {

LossLog&
CrashQuarantine::LogOf(std::string_view aService)
{
  auto it = services_.find(aService);
  if (it == services_.end()) {
    it = services_.try_emplace(std::string(aService)).first;
  }
  return it->second;
}

void
CrashQuarantine::RecordSuccess(const RequestCauses& aCauses, TimePoint aNow)
{
  if (!aCauses.parts_.empty()) {
    prompts_.RecordSuccess(aCauses.parts_, aNow);
  }
  if (aCauses.request_ != 0) {
    LogOf(aCauses.service_).RecordSuccess({ &aCauses.request_, 1 }, aNow);
  }
}

void
CrashQuarantine::RecordLoss(const RequestCauses& aCauses,
                            const Replica& aReplica,
                            std::optional<TimePoint> aBegunAt,
                            TimePoint aNow)
{
  if (aBegunAt && aNow - *aBegunAt > kBeginning) {
    return;
  }
  std::uint64_t replica = Checksum(ViewOf(aReplica.id_));
  if (!aCauses.parts_.empty()) {
    prompts_.RecordLoss(aCauses.parts_, replica, aNow);
  }
  if (aCauses.request_ != 0) {
    LogOf(aCauses.service_).RecordLoss({ &aCauses.request_, 1 }, replica, aNow);
  }
}

CrashReport
CrashQuarantine::Report(TimePoint aNow)
{
  std::erase_if(quarantined_,
                [&](const auto& aIt) { return aIt.second <= aNow; });
  CrashReport report;
  report.prompts_ = prompts_.Report(suspects_, aNow);
  for (auto& [service, log] : services_) {
    report.services_[service] = log.Report(suspects_, aNow);
  }
  for (const auto& [cause, until] : quarantined_) {
    report.quarantined_.push_back({ cause, ToMilliseconds(until - aNow) });
  }
  return report;
}

void
CrashQuarantine::Apply(const CrashVerdicts& aVerdicts, TimePoint aNow)
{
  suspects_ = { aVerdicts.suspects_.begin(), aVerdicts.suspects_.end() };
  for (const auto& quarantined : aVerdicts.quarantined_) {
    TimePoint& until = quarantined_[quarantined.cause_];
    until = std::max(until, aNow + quarantined.remaining_);
  }
}

std::optional<Duration>
CrashQuarantine::RemainingForOne(std::uint64_t aCause, TimePoint aNow) const
{
  auto it = quarantined_.find(aCause);
  return it == quarantined_.end() || it->second <= aNow
           ? std::nullopt
           : std::optional(it->second - aNow);
}

std::optional<Duration>
CrashQuarantine::RemainingFor(const RequestCauses& aCauses,
                              TimePoint aNow) const
{
  if (quarantined_.empty()) {
    return std::nullopt;
  }
  auto remaining = RemainingForOne(aCauses.request_, aNow);
  for (std::uint64_t part : aCauses.parts_) {
    remaining = std::max(remaining, RemainingForOne(part, aNow));
  }
  return remaining;
}

bool
CrashQuarantine::IsSuspected(const RequestCauses& aCauses) const
{
  return suspects_.contains(aCauses.request_) ||
         std::any_of(
           aCauses.parts_.begin(),
           aCauses.parts_.end(),
           [&](std::uint64_t aPart) { return suspects_.contains(aPart); });
}

} // namespace tanagerstall
