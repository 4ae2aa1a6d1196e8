#include "tanagerstall/connection/tanagerstall_fleet_codec.hpp"

#include "tanagerstall/connection/tanagerstall_crash_codec.hpp"
#include "tanagerstall/internal/tanagerstall_entry_wire.hpp"

#include <kj/debug.h>

#include <cmath>

namespace tanagerstall {

namespace {

/// Shorter lists are sent as they are.
constexpr std::size_t kMinPackedReplicas = 8;
/// Many times the replicas that a fleet has.
constexpr std::size_t kMaxUnpackedBytes = 64U << 20U;

std::vector<Replica>
ReadReplicas(capnp::List<wire::ReplicaFact>::Reader aFrom)
{
  std::vector<Replica> replicas;
  replicas.reserve(aFrom.size());
  for (auto replica : aFrom) {
    replicas.push_back(ReadReplica(replica));
  }
  return replicas;
}

std::vector<Replica>
UnpackReplicas(capnp::Data::Reader aFrom)
{
  auto bytes = Decompress(ToBytes(aFrom), {}, kMaxUnpackedBytes);
  KJ_REQUIRE(bytes.has_value(), "replicas can't be decompressed");
  FlatMessage message(*bytes);
  return ReadReplicas(message.Root<wire::SyncReply>().getReplicas());
}

void
WriteReplicas(wire::SyncReply::Builder aTo, const ReplicaReport& aFrom)
{
  if (!aFrom.encoded_) {
    auto replicas = aTo.initReplicas(aFrom.changed_.size());
    for (unsigned i = 0; i < aFrom.changed_.size(); ++i) {
      WriteReplica(replicas[i], aFrom.changed_[i]);
    }
  } else if (aFrom.isPacked_ && !aFrom.encoded_->Packed().empty()) {
    aTo.setPackedReplicas(ToData(aFrom.encoded_->Packed()));
  } else {
    aTo.setReplicas(aFrom.encoded_->Reader());
  }
}

void
WriteRates(capnp::List<wire::NamedRate>::Builder aTo, const NamedRates& aFrom)
{
  for (unsigned i = 0; i < aFrom.size(); ++i) {
    aTo[i].setReplica(ToText(aFrom[i].replica_));
    aTo[i].setStartMs(aFrom[i].startTimeMs_);
    aTo[i].setHasEnded(!aFrom[i].perSecond_);
    aTo[i].setPerSecond(aFrom[i].perSecond_.value_or(0.0));
    aTo[i].setAgeMs(static_cast<std::uint64_t>(aFrom[i].age_.count()));
  }
}

NamedRates
ReadRates(capnp::List<wire::NamedRate>::Reader aFrom)
{
  NamedRates rates;
  for (auto from : aFrom) {
    NamedRate rate{ ToString(from.getReplica()),
                    from.getStartMs(),
                    std::nullopt,
                    std::chrono::milliseconds(from.getAgeMs()) };
    if (!from.getHasEnded()) {
      rate.perSecond_ = from.getPerSecond();
    }
    rates.push_back(std::move(rate));
  }
  return rates;
}

void
WriteCounts(capnp::List<wire::RolloutCounts>::Builder aTo,
            const std::vector<RolloutCounts>& aFrom)
{
  for (unsigned i = 0; i < aFrom.size(); ++i) {
    const RolloutCounts& counts = aFrom[i];
    aTo[i].setService(ToText(counts.service_));
    aTo[i].setId(counts.id_);
    aTo[i].setNewVersion(counts.isNewVersion_);
    aTo[i].setRoute(ToText(counts.route_));
    aTo[i].setSent(counts.sent_);
    aTo[i].setEnded(counts.ended_);
    aTo[i].setFailed(counts.failed_);
    // The receiver takes missing buckets for empty ones.
    std::size_t used = counts.firstParts_.size();
    while (used > 0 && counts.firstParts_.at(used - 1) == 0) {
      --used;
    }
    auto firstParts = aTo[i].initFirstParts(static_cast<unsigned>(used));
    for (unsigned bucket = 0; bucket < used; ++bucket) {
      firstParts.set(bucket, counts.firstParts_.at(bucket));
    }
  }
}

std::vector<RolloutCounts>
ReadCounts(capnp::List<wire::RolloutCounts>::Reader aFrom)
{
  std::vector<RolloutCounts> all;
  for (auto from : aFrom) {
    RolloutCounts counts;
    counts.service_ = ToString(from.getService());
    counts.id_ = from.getId();
    counts.isNewVersion_ = from.getNewVersion();
    counts.route_ = ToString(from.getRoute());
    counts.sent_ = from.getSent();
    counts.ended_ = from.getEnded();
    counts.failed_ = from.getFailed();
    auto firstParts = from.getFirstParts();
    KJ_REQUIRE(firstParts.size() <= kRolloutBuckets, "too many buckets");
    for (unsigned bucket = 0; bucket < firstParts.size(); ++bucket) {
      counts.firstParts_.at(bucket) = firstParts[bucket];
    }
    all.push_back(std::move(counts));
  }
  return all;
}

void
WriteDirectives(capnp::List<wire::RolloutDirective>::Builder aTo,
                const std::vector<RolloutDirective>& aFrom)
{
  for (unsigned i = 0; i < aFrom.size(); ++i) {
    WriteRollout(aTo[i].initRollout(), aFrom[i].rollout_);
    aTo[i].setRequestShare(aFrom[i].requestShare_);
    aTo[i].setReplicaShare(aFrom[i].replicaShare_);
  }
}

std::vector<RolloutDirective>
ReadDirectives(capnp::List<wire::RolloutDirective>::Reader aFrom)
{
  std::vector<RolloutDirective> directives;
  for (auto from : aFrom) {
    directives.push_back({ ReadRollout(from.getRollout()),
                           from.getRequestShare(),
                           from.getReplicaShare() });
  }
  return directives;
}

void
WriteStreams(capnp::List<wire::StreamGroup>::Builder aTo,
             const StreamGroups& aFrom)
{
  for (unsigned i = 0; i < aFrom.size(); ++i) {
    aTo[i].setService(ToText(aFrom[i].origin_.service_));
    aTo[i].setVersion(ToText(aFrom[i].origin_.version_));
    aTo[i].setWaitedMs(
      static_cast<std::uint32_t>(WholeMilliseconds(aFrom[i].waited_)));
    aTo[i].setInferred(aFrom[i].isInferred_);
    const auto& from = aFrom[i].streams_;
    auto streams = aTo[i].initStreams(static_cast<unsigned>(from.size()));
    for (unsigned j = 0; j < from.size(); ++j) {
      streams.set(j, from[j]);
    }
  }
}

StreamGroups
ReadStreams(capnp::List<wire::StreamGroup>::Reader aFrom)
{
  StreamGroups groups;
  for (auto from : aFrom) {
    StreamGroup group{ { ToString(from.getService()),
                         ToString(from.getVersion()) },
                       {},
                       std::chrono::milliseconds(from.getWaitedMs()),
                       from.getInferred() };
    for (StreamKey stream : from.getStreams()) {
      group.streams_.push_back(stream);
    }
    groups.push_back(std::move(group));
  }
  return groups;
}

void
WriteAdmission(capnp::List<wire::AdmissionSums>::Builder aTo,
               const AdmissionSumsByService& aFrom)
{
  unsigned next = 0;
  for (const auto& [service, sums] : aFrom) {
    auto to = aTo[next++];
    to.setService(ToText(service));
    to.setRunning(sums.running_);
    auto ranks = to.initRanks(static_cast<unsigned>(sums.ranks_.size()));
    unsigned nextRank = 0;
    for (const auto& [rank, work] : sums.ranks_) {
      auto toRank = ranks[nextRank++];
      toRank.setRank(rank);
      toRank.setWaiting(static_cast<float>(work.waiting_));
      toRank.setServedPerS(static_cast<float>(work.servedPerS_));
      toRank.setPeakWaitS(static_cast<float>(work.peakWaitS_));
    }
  }
}

/// Returns an amount of work; a value that is none counts as 0.
double
ReadWork(float aFrom)
{
  return std::isfinite(aFrom) && aFrom > 0.0F ? static_cast<double>(aFrom)
                                              : 0.0;
}

AdmissionSumsByService
ReadAdmission(capnp::List<wire::AdmissionSums>::Reader aFrom)
{
  AdmissionSumsByService all;
  for (auto from : aFrom) {
    AdmissionSums& sums = all[ToString(from.getService())];
    sums.running_ = from.getRunning();
    for (auto rank : from.getRanks()) {
      sums.ranks_[rank.getRank()] = { ReadWork(rank.getWaiting()),
                                      ReadWork(rank.getServedPerS()),
                                      ReadWork(rank.getPeakWaitS()) };
    }
  }
  return all;
}

/// Reads the number of the declaration that a change is one of. It has no flag
/// of its own, so that one with number 0 is always sent whole.
DeclarationNumber
ReadBase(std::uint64_t aNumber)
{
  return ReadNumber(aNumber, false);
}

} // namespace

EncodedReplicas::EncodedReplicas(const std::vector<Replica>& aReplicas)
{
  auto root = message_.initRoot<wire::SyncReply>();
  auto replicas = root.initReplicas(aReplicas.size());
  for (unsigned i = 0; i < aReplicas.size(); ++i) {
    WriteReplica(replicas[i], aReplicas[i]);
  }
  reader_ = replicas.asReader();
  if (aReplicas.size() >= kMinPackedReplicas) {
    packed_ = Compress(Flatten(message_), {}).value_or(Bytes());
  }
}

void
WriteReport(wire::SyncRequest::Builder aTo, const EntryReport& aFrom)
{
  WriteWire(aTo.initEntry(), aFrom.entry_);
  aTo.getEntry().setRevision(aFrom.inForce_.value_or(0));
  aTo.setHasRevision(aFrom.inForce_.has_value());
  aTo.setControlRun(aFrom.controlRun_);
  aTo.setStamp(aFrom.stamp_);
  aTo.setWaitMs(static_cast<std::uint32_t>(aFrom.wait_.count()));
  aTo.setHeard(aFrom.newestDeclaration_.value_or(0));
  aTo.setHasHeard(aFrom.newestDeclaration_.has_value());
  aTo.setWantsDocument(aFrom.wantsDeclaration_);
  aTo.setRequestRate(aFrom.requestRate_);
  aTo.setToLeader(aFrom.isToLeader_);
  aTo.setBrief(aFrom.isBrief_);
  aTo.setReadsCompressed(aFrom.canRestore_.readsCompressed_);
  aTo.setBase(aFrom.canRestore_.base_.value_or(0));
  aTo.setPromptRevision(aFrom.promptRevision_);
  if (aFrom.crashReport_) {
    WriteCrashes(aTo, *aFrom.crashReport_);
  }
  WriteRates(aTo.initNamedRates(aFrom.namedRates_.size()), aFrom.namedRates_);
  aTo.setRateRevision(aFrom.rateRevision_);
  WriteCounts(aTo.initRolloutCounts(aFrom.rolloutCounts_.size()),
              aFrom.rolloutCounts_);
  aTo.setRolloutRevision(aFrom.rolloutRevision_);
  WriteAdmission(
    aTo.initAdmission(static_cast<unsigned>(aFrom.admission_.size())),
    aFrom.admission_);
  aTo.setReadsPackedReplicas(aFrom.readsPackedReplicas_);
  WriteStreams(aTo.initStreamStarts(aFrom.streamStarts_.size()),
               aFrom.streamStarts_);
  aTo.setStreamPosition(aFrom.streamPosition_);
  WriteStreams(aTo.initWantedStreams(aFrom.wantedStreams_.size()),
               aFrom.wantedStreams_);
  auto usage = aTo.initUsage(aFrom.usage_.size());
  for (unsigned i = 0; i < aFrom.usage_.size(); ++i) {
    WriteUsage(usage[i], aFrom.usage_[i]);
  }
  auto grantRequests = aTo.initAsks(aFrom.grantRequests_.size());
  unsigned next = 0;
  for (const auto& [name, grantRequest] : aFrom.grantRequests_) {
    grantRequests[next].setName(ToText(name));
    grantRequests[next].setHeld(grantRequest.held_);
    grantRequests[next].setDue(grantRequest.due_);
    grantRequests[next].setNeed(grantRequest.need_);
    grantRequests[next].setTaken(grantRequest.taken_);
    grantRequests[next].setReturned(grantRequest.returned_);
    ++next;
  }
  auto services = aTo.initServices(aFrom.services_.size());
  next = 0;
  for (const auto& [name, load] : aFrom.services_) {
    auto service = services[next++];
    service.setName(ToText(name));
    service.setRunning(load.running_);
    service.setWaiting(load.waiting_);
    service.setArrivals(load.arrivals_);
    service.setRefused(load.refused_);
    service.setLongRunning(load.longRunning_);
    service.setInTime(load.inTime_);
    service.setLate(load.late_);
    service.setLongInTime(load.longInTime_);
    service.setLongLate(load.longLate_);
  }
}

EntryReport
ReadReport(wire::SyncRequest::Reader aFrom)
{
  EntryReport report;
  report.entry_ = ReadWire(aFrom.getEntry());
  report.inForce_ =
    ReadNumber(aFrom.getEntry().getRevision(), aFrom.getHasRevision());
  report.controlRun_ = aFrom.getControlRun();
  report.stamp_ = aFrom.getStamp();
  report.wait_ = std::chrono::milliseconds(aFrom.getWaitMs());
  report.newestDeclaration_ = ReadNumber(aFrom.getHeard(), aFrom.getHasHeard());
  report.wantsDeclaration_ = aFrom.getWantsDocument();
  report.requestRate_ = aFrom.getRequestRate();
  report.isToLeader_ = aFrom.getToLeader();
  report.isBrief_ = aFrom.getBrief();
  report.canRestore_ = { aFrom.getReadsCompressed(),
                         ReadBase(aFrom.getBase()) };
  report.promptRevision_ = aFrom.getPromptRevision();
  if (aFrom.hasPromptEvidence()) {
    report.crashReport_ = ReadCrashes(aFrom);
  }
  report.namedRates_ = ReadRates(aFrom.getNamedRates());
  report.rateRevision_ = aFrom.getRateRevision();
  report.rolloutCounts_ = ReadCounts(aFrom.getRolloutCounts());
  report.rolloutRevision_ = aFrom.getRolloutRevision();
  report.admission_ = ReadAdmission(aFrom.getAdmission());
  report.readsPackedReplicas_ = aFrom.getReadsPackedReplicas();
  report.streamStarts_ = ReadStreams(aFrom.getStreamStarts());
  report.streamPosition_ = aFrom.getStreamPosition();
  report.wantedStreams_ = ReadStreams(aFrom.getWantedStreams());
  for (auto usage : aFrom.getUsage()) {
    report.usage_.push_back(ReadUsage(usage));
  }
  for (auto grantRequest : aFrom.getAsks()) {
    report.grantRequests_[ToString(grantRequest.getName())] = {
      grantRequest.getHeld(),
      grantRequest.getDue(),
      grantRequest.getNeed(),
      grantRequest.getTaken(),
      grantRequest.getReturned()
    };
  }
  for (auto service : aFrom.getServices()) {
    report.services_[ToString(service.getName())] = {
      service.getRunning(), service.getWaiting(),     service.getArrivals(),
      service.getRefused(), service.getLongRunning(), service.getInTime(),
      service.getLate(),    service.getLongInTime(),  service.getLongLate()
    };
  }
  return report;
}

void
WriteAnswer(wire::SyncReply::Builder aTo, const ControlAnswer& aFrom)
{
  aTo.setControlRun(aFrom.replicas_.run_);
  aTo.setStamp(aFrom.replicas_.stamp_);
  WriteReplicas(aTo, aFrom.replicas_);
  aTo.setRegion(ToText(aFrom.region_));
  aTo.setPlanNumber(aFrom.planNumber_.value_or(0));
  aTo.setHasPlanNumber(aFrom.planNumber_.has_value());
  if (aFrom.declaration_) {
    aTo.setDocument(ToData(aFrom.declaration_->payload_));
    aTo.setEncoding(WriteEncoding(aFrom.declaration_->encoding_));
    aTo.setBase(aFrom.declaration_->base_.value_or(0));
  }
  auto members = aTo.initMembers(aFrom.members_.size());
  for (unsigned i = 0; i < aFrom.members_.size(); ++i) {
    members.set(i, ToText(aFrom.members_[i]));
  }
  aTo.setEntries(aFrom.shareDivisor_);
  aTo.setStandby(aFrom.isStandby_);
  auto grants = aTo.initGrants(aFrom.grants_.size());
  unsigned next = 0;
  for (const auto& [organisation, cost] : aFrom.grants_) {
    grants[next].setOrganisation(ToText(organisation));
    grants[next].setCost(cost);
    ++next;
  }
  aTo.setAllowsAdvance(aFrom.allowsAdvance_);
  auto nearlyExhausted = aTo.initNearlyExhausted(aFrom.nearlyExhausted_.size());
  next = 0;
  for (const auto& organisation : aFrom.nearlyExhausted_) {
    nearlyExhausted.set(next++, ToText(organisation));
  }
  aTo.setLeads(aFrom.isLeader_);
  aTo.setReadsCompressed(aFrom.readsCompressed_);
  aTo.setAppliesRollouts(aFrom.appliesRollouts_);
  aTo.setAppliesNumberZero(aFrom.appliesNumberZero_);
  if (aFrom.namedRates_) {
    WriteRates(aTo.initNamedRates(aFrom.namedRates_->size()),
               *aFrom.namedRates_);
  }
  aTo.setRateRevision(aFrom.rateRevision_);
  if (aFrom.rollouts_) {
    WriteDirectives(aTo.initRollouts(aFrom.rollouts_->size()),
                    *aFrom.rollouts_);
  }
  aTo.setRolloutRevision(aFrom.rolloutRevision_);
  auto longResponses = aTo.initLongResponses(aFrom.longResponses_.size());
  next = 0;
  for (const auto& [service, count] : aFrom.longResponses_) {
    longResponses[next].setName(ToText(service));
    longResponses[next].setCount(count);
    ++next;
  }
  WriteAdmission(
    aTo.initAdmission(static_cast<unsigned>(aFrom.admission_.size())),
    aFrom.admission_);
  if (aFrom.crashVerdicts_) {
    WriteVerdicts(aTo.initPromptVerdicts(), *aFrom.crashVerdicts_);
  }
  aTo.setStreamPosition(aFrom.streamPosition_);
  WriteStreams(aTo.initFoundStreams(aFrom.foundStreams_.size()),
               aFrom.foundStreams_);
}

ControlAnswer
ReadAnswer(wire::SyncReply::Reader aFrom)
{
  ControlAnswer answer;
  answer.replicas_.run_ = aFrom.getControlRun();
  answer.replicas_.stamp_ = aFrom.getStamp();
  answer.replicas_.changed_ = aFrom.hasPackedReplicas()
                                ? UnpackReplicas(aFrom.getPackedReplicas())
                                : ReadReplicas(aFrom.getReplicas());
  answer.region_ = ToString(aFrom.getRegion());
  answer.planNumber_ =
    ReadNumber(aFrom.getPlanNumber(), aFrom.getHasPlanNumber());
  if (aFrom.getDocument().size() > 0) {
    answer.declaration_ = { aFrom.getPlanNumber(),
                            ReadEncoding(aFrom.getEncoding()),
                            ReadBase(aFrom.getBase()),
                            ToBytes(aFrom.getDocument()) };
  }
  for (auto member : aFrom.getMembers()) {
    answer.members_.push_back(ToString(member));
  }
  answer.shareDivisor_ = aFrom.getEntries();
  answer.isStandby_ = aFrom.getStandby();
  for (auto grant : aFrom.getGrants()) {
    answer.grants_[ToString(grant.getOrganisation())] = grant.getCost();
  }
  answer.allowsAdvance_ = aFrom.getAllowsAdvance();
  for (auto organisation : aFrom.getNearlyExhausted()) {
    answer.nearlyExhausted_.insert(ToString(organisation));
  }
  answer.isLeader_ = aFrom.getLeads();
  answer.readsCompressed_ = aFrom.getReadsCompressed();
  answer.appliesRollouts_ = aFrom.getAppliesRollouts();
  answer.appliesNumberZero_ = aFrom.getAppliesNumberZero();
  if (aFrom.hasNamedRates()) {
    answer.namedRates_ = ReadRates(aFrom.getNamedRates());
  }
  answer.rateRevision_ = aFrom.getRateRevision();
  if (aFrom.hasRollouts()) {
    answer.rollouts_ = ReadDirectives(aFrom.getRollouts());
  }
  answer.rolloutRevision_ = aFrom.getRolloutRevision();
  for (auto count : aFrom.getLongResponses()) {
    answer.longResponses_[ToString(count.getName())] =
      static_cast<std::uint32_t>(count.getCount());
  }
  answer.admission_ = ReadAdmission(aFrom.getAdmission());
  if (aFrom.hasPromptVerdicts()) {
    answer.crashVerdicts_ = ReadVerdicts(aFrom.getPromptVerdicts());
  }
  answer.streamPosition_ = aFrom.getStreamPosition();
  answer.foundStreams_ = ReadStreams(aFrom.getFoundStreams());
  return answer;
}

} // namespace tanagerstall
