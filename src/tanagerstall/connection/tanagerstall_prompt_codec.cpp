#include "tanagerstall/connection/tanagerstall_prompt_codec.hpp"

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
                 const std::vector<QuarantinedPart>& aFrom)
{
  for (unsigned i = 0; i < aFrom.size(); ++i) {
    aTo[i].setPart(aFrom[i].part_);
    aTo[i].setMs(ToWire(aFrom[i].remaining_));
  }
}

std::vector<QuarantinedPart>
ReadQuarantined(capnp::List<wire::PromptPart>::Reader aFrom)
{
  std::vector<QuarantinedPart> parts;
  for (auto part : aFrom) {
    parts.push_back(
      { part.getPart(), std::chrono::milliseconds(part.getMs()) });
  }
  return parts;
}

} // namespace

void
WriteEvidence(wire::PromptEvidence::Builder aTo, const PromptEvidence& aFrom)
{
  aTo.setAnswered(aFrom.answered_);
  aTo.setLost(aFrom.lost_);
  auto crashes = aTo.initCrashes(aFrom.crashes_.size());
  for (unsigned i = 0; i < aFrom.crashes_.size(); ++i) {
    crashes[i].setPart(aFrom.crashes_[i].part_);
    crashes[i].setLoss(aFrom.crashes_[i].loss_);
    crashes[i].setReplica(aFrom.crashes_[i].replica_);
    crashes[i].setAgeMs(ToWire(aFrom.crashes_[i].age_));
    crashes[i].setWasAnswered(aFrom.crashes_[i].wasAnswered_);
  }
  auto successes = aTo.initSuccesses(aFrom.successes_.size());
  for (unsigned i = 0; i < aFrom.successes_.size(); ++i) {
    successes[i].setPart(aFrom.successes_[i].part_);
    successes[i].setMs(ToWire(aFrom.successes_[i].age_));
  }
  WriteQuarantined(aTo.initQuarantined(aFrom.quarantined_.size()),
                   aFrom.quarantined_);
}

PromptEvidence
ReadEvidence(wire::PromptEvidence::Reader aFrom)
{
  PromptEvidence evidence;
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
  evidence.quarantined_ = ReadQuarantined(aFrom.getQuarantined());
  return evidence;
}

void
WriteVerdicts(wire::PromptVerdicts::Builder aTo, const PromptVerdicts& aFrom)
{
  aTo.setRevision(aFrom.revision_);
  auto suspects = aTo.initSuspects(aFrom.suspects_.size());
  for (unsigned i = 0; i < aFrom.suspects_.size(); ++i) {
    suspects.set(i, aFrom.suspects_[i]);
  }
  WriteQuarantined(aTo.initQuarantined(aFrom.quarantined_.size()),
                   aFrom.quarantined_);
}

PromptVerdicts
ReadVerdicts(wire::PromptVerdicts::Reader aFrom)
{
  PromptVerdicts verdicts;
  verdicts.revision_ = aFrom.getRevision();
  for (auto part : aFrom.getSuspects()) {
    verdicts.suspects_.push_back(part);
  }
  verdicts.quarantined_ = ReadQuarantined(aFrom.getQuarantined());
  return verdicts;
}

} // namespace tanagerstall
