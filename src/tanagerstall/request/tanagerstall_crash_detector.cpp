#include "tanagerstall/request/tanagerstall_crash_detector.hpp"

#include <utility>

namespace tanagerstall {

CrashDetector::CrashDetector(std::uint64_t aRun)
  : run_(aRun)
  , prompts_("", quarantines_)
{
}

void
CrashDetector::StartLeading()
{
  prompts_.StartLeading();
  services_.clear();
}

void
CrashDetector::RecordReport(const std::string& aEntryRun,
                            const CrashReport& aReport,
                            TimePoint aNow)
{
  prompts_.RecordReport(aEntryRun, aReport.prompts_, aNow);
  for (const auto& [service, evidence] : aReport.services_) {
    auto it = services_.try_emplace(service, service, quarantines_).first;
    it->second.RecordReport(aEntryRun, evidence, aNow);
  }
  for (const auto& cause : aReport.quarantined_) {
    hasChanged_ = quarantines_.Adopt(cause, aNow) || hasChanged_;
  }
}

bool
CrashDetector::Update(TimePoint aNow)
{
  quarantines_.ForgetOld(aNow);
  bool hasChanged = std::exchange(hasChanged_, false);
  hasChanged = prompts_.Update(aNow) || hasChanged;
  for (auto& [service, search] : services_) {
    hasChanged = search.Update(aNow) || hasChanged;
  }
  std::erase_if(services_, [](const auto& aIt) { return aIt.second.IsIdle(); });
  changes_ += hasChanged ? 1 : 0;
  return hasChanged;
}

CrashVerdicts
CrashDetector::Verdicts(TimePoint aNow) const
{
  CrashVerdicts verdicts;
  verdicts.revision_ = Revision();
  prompts_.AddSuspects(verdicts.suspects_);
  for (const auto& [service, search] : services_) {
    search.AddSuspects(verdicts.suspects_);
  }
  verdicts.quarantined_ = quarantines_.Quarantined(aNow);
  return verdicts;
}

std::uint64_t
CrashDetector::Revision() const
{
  return changes_ == 0 ? 0 : run_ + changes_;
}

std::vector<QuarantineDecision>
CrashDetector::TakeDecisions()
{
  std::vector<QuarantineDecision> decisions;
  prompts_.TakeDecisions(decisions);
  for (auto& [service, search] : services_) {
    search.TakeDecisions(decisions);
  }
  return decisions;
}

std::size_t
CrashDetector::CountQuarantined(TimePoint aNow) const
{
  return quarantines_.Quarantined(aNow).size();
}

} // namespace tanagerstall
