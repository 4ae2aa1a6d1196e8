#include "tanagerstall/connection/tanagerstall_crash_codec.hpp"

#include "tanagerstall/internal/tanagerstall_wire.hpp"

#include <algorithm>
#include <limits>

namespace tanagerstall {

namespace {

std::uint32_t
ToWire(std::chrono::milliseconds aTime)
{
  constexpr std::int64_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(aTime.count(), 0, kMax));
}

void
WriteQuarantined(capnp::List<wire::PromptPart>::Builder aTo,
                 const std::vector<QuarantinedCause>& aFrom)
{
  for (unsigned i = 0; i < aFrom.size(); ++i) {
    aTo[i].setPart(aFrom[i].cause_);
    aTo[i].setMs(ToWire(aFrom[i].remaining_));
  }
}

std::vector<QuarantinedCause>
ReadQuarantined(capnp::List<wire::PromptPart>::Reader aFrom)
{
  std::vector<QuarantinedCause> parts;
  for (auto part : aFrom) {
    parts.push_back(
      { part.getPart(), std::chrono::milliseconds(part.getMs()) });
  }
  return parts;
}

void
WriteEvidence(wire::PromptEvidence::Builder aTo, const LossEvidence& aFrom)
{
  aTo.setAnswered(aFrom.answered_);
  aTo.setLost(aFrom.lost_);
  auto crashes = aTo.initCrashes(aFrom.crashes_.size());
  for (unsigned i = 0; i < aFrom.crashes_.size(); ++i) {
    crashes[i].setPart(aFrom.crashes_[i].cause_);
    crashes[i].setLoss(aFrom.crashes_[i].loss_);
    crashes[i].setReplica(aFrom.crashes_[i].replica_);
    crashes[i].setAgeMs(ToWire(aFrom.crashes_[i].age_));
    crashes[i].setWasAnswered(aFrom.crashes_[i].wasAnswered_);
  }
  auto successes = aTo.initSuccesses(aFrom.successes_.size());
  for (unsigned i = 0; i < aFrom.successes_.size(); ++i) {
    successes[i].setPart(aFrom.successes_[i].cause_);
    successes[i].setMs(ToWire(aFrom.successes_[i].age_));
  }
}

LossEvidence
ReadEvidence(wire::PromptEvidence::Reader aFrom)
{
  LossEvidence evidence;
  evidence.answered_ = aFrom.getAnswered();
  evidence.lost_ = aFrom.getLost();
  for (auto crash : aFrom.getCrashes()) {
    evidence.crashes_.push_back({ crash.getPart(),
                                  crash.getLoss(),
                                  crash.getReplica(),
                                  std::chrono::milliseconds(crash.getAgeMs()),
                                  crash.getWasAnswered() });
  }
  for (auto success : aFrom.getSuccesses()) {
    evidence.successes_.push_back(
      { success.getPart(), std::chrono::milliseconds(success.getMs()) });
  }
  return evidence;
}

} // namespace

void
WriteCrashes(wire::SyncRequest::Builder aTo, const CrashReport& aFrom)
{
  auto prompts = aTo.initPromptEvidence();
  WriteEvidence(prompts, aFrom.prompts_);
  WriteQuarantined(prompts.initQuarantined(aFrom.quarantined_.size()),
                   aFrom.quarantined_);
  auto services = aTo.initRequestEvidence(aFrom.services_.size());
  unsigned next = 0;
  for (const auto& [name, evidence] : aFrom.services_) {
    auto service = services[next++];
    service.setService(ToText(name));
    WriteEvidence(service.initEvidence(), evidence);
  }
}

CrashReport
ReadCrashes(wire::SyncRequest::Reader aFrom)
{
  CrashReport report;
  report.prompts_ = ReadEvidence(aFrom.getPromptEvidence());
  report.quarantined_ =
    ReadQuarantined(aFrom.getPromptEvidence().getQuarantined());
  for (auto service : aFrom.getRequestEvidence()) {
    report.services_[ToString(service.getService())] =
      ReadEvidence(service.getEvidence());
  }
  return report;
}

void
WriteVerdicts(wire::PromptVerdicts::Builder aTo, const CrashVerdicts& aFrom)
{
  aTo.setRevision(aFrom.revision_);
  auto suspects = aTo.initSuspects(aFrom.suspects_.size());
  for (unsigned i = 0; i < aFrom.suspects_.size(); ++i) {
    suspects.set(i, aFrom.suspects_[i]);
  }
  WriteQuarantined(aTo.initQuarantined(aFrom.quarantined_.size()),
                   aFrom.quarantined_);
}

CrashVerdicts
ReadVerdicts(wire::PromptVerdicts::Reader aFrom)
{
  CrashVerdicts verdicts;
  verdicts.revision_ = aFrom.getRevision();
  for (auto part : aFrom.getSuspects()) {
    verdicts.suspects_.push_back(part);
  }
  verdicts.quarantined_ = ReadQuarantined(aFrom.getQuarantined());
  return verdicts;
}

} // namespace tanagerstall
