#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include "tanagerstall/internal/tanagerstall_fleet_wire.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// Windows retained so that a usage report can be repeated with equal counts.
constexpr std::size_t kKeptWindows = 64;

/// The versions of a service whose starts are retained.
constexpr std::size_t kKeptVersions = 16;

/// How far apart two equal orders may have been received and count as one. An
/// order is acknowledged again for 10 s after it was accepted, and an operator
/// resends it for at most 6 s before that. The receipt times are compared, so
/// the window is the sum of both and 4 s for differences between the clocks.
constexpr std::chrono::milliseconds kRepeatWindow =
  std::chrono::seconds(10 + 6 + 4);

bool
IsRepetition(const Rollout& aEarlier, const RolloutOrder& aOrder)
{
  const RolloutOrder& first = aEarlier.order_;
  if (first.service_ != aOrder.service_ || first.version_ != aOrder.version_ ||
      first.duration_ != aOrder.duration_) {
    return false;
  }
  // The order that was received first may be applied last.
  return aEarlier.state_ == RolloutState::Running ||
         std::chrono::abs(aOrder.orderedAt_ - first.orderedAt_) <=
           kRepeatWindow;
}

/// Returns what becomes of an order, given the latest roll-out of its service.
RolloutReply
Judge(const Rollout& aLatest, const RolloutOrder& aOrder)
{
  if (IsRepetition(aLatest, aOrder)) {
    return RolloutReply::Repeated;
  }
  if (aLatest.state_ == RolloutState::Running) {
    return RolloutReply::Conflict;
  }
  bool isInForce = aLatest.state_ == RolloutState::Completed &&
                   aLatest.order_.version_ == aOrder.version_;
  if (isInForce) {
    return RolloutReply::InForce;
  }
  // A process that was suspended between receiving an order and proposing it
  // must not start a roll-out that its operator has given up.
  bool isOutdated =
    aOrder.orderedAt_ + kRepeatWindow < aLatest.order_.orderedAt_;
  return isOutdated ? RolloutReply::Outdated : RolloutReply::Accepted;
}

void
WriteNumber(wire::FleetSnapshot::Builder aTo, const DeclarationNumber& aNumber)
{
  aTo.setNumber(aNumber.value_or(0));
  aTo.setHasNumber(aNumber.has_value());
}

std::optional<Declaration>
ReadDeclaration(wire::FleetSnapshot::Reader aFrom)
{
  if (!ReadNumber(aFrom.getNumber(), aFrom.getHasNumber())) {
    return std::nullopt;
  }
  return Declaration{ aFrom.getNumber(), TextOf(ToBytes(aFrom.getDocument())) };
}

void
WriteRollouts(wire::FleetSnapshot::Builder aTo, const RolloutsByService& aFrom)
{
  auto rollouts = aTo.initRollouts(aFrom.size());
  unsigned i = 0;
  for (const auto& [service, rollout] : aFrom) {
    WriteRollout(rollouts[i++], rollout);
  }
}

RolloutsByService
ReadRollouts(wire::FleetSnapshot::Reader aFrom)
{
  RolloutsByService rollouts;
  for (auto from : aFrom.getRollouts()) {
    Rollout rollout = ReadRollout(from);
    rollouts[rollout.order_.service_] = rollout;
  }
  return rollouts;
}

WallTime
WallTimeOf(std::int64_t aMilliseconds)
{
  return WallTime(std::chrono::milliseconds(aMilliseconds));
}

void
WriteLeaves(wire::FleetSnapshot::Builder aTo, const ReplicaLeaves& aFrom)
{
  auto leaves = aTo.initLeaves(aFrom.All().size());
  unsigned i = 0;
  for (const auto& [id, record] : aFrom.All()) {
    WriteReplica(leaves[i].initReplica(), record.first);
    leaves[i].setRecordedAtMs(record.second.time_since_epoch().count());
    ++i;
  }
}

ReplicaLeaves
ReadLeaves(wire::FleetSnapshot::Reader aFrom)
{
  ReplicaLeaves leaves;
  for (auto from : aFrom.getLeaves()) {
    leaves.Record(ReadReplica(from.getReplica()),
                  WallTimeOf(from.getRecordedAtMs()));
  }
  return leaves;
}

void
WriteVersionStarts(wire::FleetSnapshot::Builder aTo, const VersionStarts& aFrom)
{
  auto starts = aTo.initVersionStarts(aFrom.size());
  unsigned i = 0;
  for (const auto& [key, startedAt] : aFrom) {
    starts[i].setService(ToText(key.first));
    starts[i].setVersion(ToText(key.second));
    starts[i].setStartedAtMs(startedAt.time_since_epoch().count());
    ++i;
  }
}

VersionStarts
ReadVersionStarts(wire::FleetSnapshot::Reader aFrom)
{
  VersionStarts starts;
  for (auto from : aFrom.getVersionStarts()) {
    starts[{ ToString(from.getService()), ToString(from.getVersion()) }] =
      WallTimeOf(from.getStartedAtMs());
  }
  return starts;
}

} // namespace

FleetState::FleetState(ChangeHook aOnChange)
  : onChange_(std::move(aOnChange))
{
}

StateMachine
FleetState::AsStateMachine()
{
  return { [this](BytesView aCommand) { return Apply(aCommand); },
           [this](BytesView aQuery) { return AnswerQuery(aQuery); },
           [this] { return TakeSnapshot(); },
           [this](BytesView aSnapshot) { InstallSnapshot(aSnapshot); } };
}

const Rollout*
FleetState::FindRollout(const std::string& aService) const
{
  auto it = rollouts_.find(aService);
  return it == rollouts_.end() ? nullptr : &it->second;
}

std::optional<CountsByName>
FleetState::AgreedUsage(std::int64_t aWindow) const
{
  auto it = usage_.find(aWindow);
  return it == usage_.end() ? std::nullopt : std::optional(it->second);
}

Bytes
FleetState::EncodeDeclare(const Declaration& aDeclaration,
                          DocumentEncoding aEncoding)
{
  capnp::MallocMessageBuilder message;
  auto declare = message.initRoot<wire::FleetCommand>().initDeclare();
  declare.setNumber(aDeclaration.number_);
  declare.setHasNumber(true);
  BytesView document = ViewOf(aDeclaration.document_);
  if (aEncoding == DocumentEncoding::Compressed) {
    if (auto compressed = Compress(document, {})) {
      declare.setEncoding(WriteEncoding(aEncoding));
      declare.setDocument(ToData(*compressed));
      return Flatten(message);
    }
  }
  declare.setDocument(ToData(document));
  return Flatten(message);
}

Bytes
FleetState::EncodeUsage(const UsageWindow& aUsage)
{
  capnp::MallocMessageBuilder message;
  WriteUsage(message.initRoot<wire::FleetCommand>().initUsage(), aUsage);
  return Flatten(message);
}

Bytes
FleetState::EncodeStartRollout(const RolloutOrder& aOrder)
{
  capnp::MallocMessageBuilder message;
  WriteRollout(message.initRoot<wire::FleetCommand>().initStartRollout(),
               { 0, aOrder, RolloutState::Running, {} });
  return Flatten(message);
}

Bytes
FleetState::EncodeEndRollout(std::uint64_t aId,
                             RolloutState aState,
                             WallTime aEndedAt)
{
  capnp::MallocMessageBuilder message;
  auto end = message.initRoot<wire::FleetCommand>().initEndRollout();
  end.setId(aId);
  end.setState(WriteState(aState));
  end.setEndedAtMs(aEndedAt.time_since_epoch().count());
  return Flatten(message);
}

Bytes
FleetState::EncodeLeaves(const std::vector<Replica>& aReplicas,
                         WallTime aRecordedAt)
{
  capnp::MallocMessageBuilder message;
  auto command = message.initRoot<wire::FleetCommand>().initLeaves();
  auto replicas = command.initReplicas(aReplicas.size());
  for (unsigned i = 0; i < aReplicas.size(); ++i) {
    WriteReplica(replicas[i], aReplicas[i]);
  }
  command.setRecordedAtMs(aRecordedAt.time_since_epoch().count());
  return Flatten(message);
}

Bytes
FleetState::EncodeVersionStart(const std::string& aService,
                               const std::string& aVersion,
                               WallTime aStartedAt)
{
  capnp::MallocMessageBuilder message;
  auto start = message.initRoot<wire::FleetCommand>().initVersionStart();
  start.setService(ToText(aService));
  start.setVersion(ToText(aVersion));
  start.setStartedAtMs(aStartedAt.time_since_epoch().count());
  return Flatten(message);
}

Bytes
FleetState::EncodeQuery(FleetQuery aQuery)
{
  // Builds without roll-outs send empty queries.
  if (aQuery == FleetQuery::All) {
    return {};
  }
  return { static_cast<std::uint8_t>(aQuery) };
}

std::optional<Declaration>
FleetState::DecodeDeclaration(BytesView aBytes)
{
  FlatMessage message(aBytes);
  return ReadDeclaration(message.Root<wire::FleetSnapshot>());
}

UsageWindow
FleetState::DecodeUsage(BytesView aBytes)
{
  FlatMessage message(aBytes);
  return ReadUsage(message.Root<wire::UsageWindow>());
}

RolloutsByService
FleetState::DecodeRollouts(BytesView aBytes)
{
  FlatMessage message(aBytes);
  return ReadRollouts(message.Root<wire::FleetSnapshot>());
}

std::optional<RolloutReply>
FleetState::DecodeRolloutReply(BytesView aBytes)
{
  constexpr auto kLast = static_cast<std::uint8_t>(RolloutReply::Outdated);
  if (aBytes.size() != 1 || aBytes.front() > kLast) {
    return std::nullopt;
  }
  return static_cast<RolloutReply>(aBytes.front());
}

Bytes
FleetState::Apply(BytesView aCommand)
{
  FlatMessage message(aCommand);
  auto command = message.Root<wire::FleetCommand>();
  switch (command.which()) {
    case wire::FleetCommand::DECLARE: {
      auto declare = command.getDeclare();
      ApplyDeclare(ReadNumber(declare.getNumber(), declare.getHasNumber()),
                   ReadEncoding(declare.getEncoding()),
                   ToBytes(declare.getDocument()));
      return MakeDeclareReply();
    }
    case wire::FleetCommand::USAGE:
      return ApplyUsage(ReadUsage(command.getUsage()));
    case wire::FleetCommand::START_ROLLOUT: {
      auto reply = ApplyStart(ReadRollout(command.getStartRollout()).order_);
      return { static_cast<std::uint8_t>(reply) };
    }
    case wire::FleetCommand::END_ROLLOUT: {
      auto end = command.getEndRollout();
      ApplyEnd(
        end.getId(), ReadState(end.getState()), WallTimeOf(end.getEndedAtMs()));
      return {};
    }
    case wire::FleetCommand::LEAVES: {
      auto leaves = command.getLeaves();
      std::vector<Replica> replicas;
      for (auto replica : leaves.getReplicas()) {
        replicas.push_back(ReadReplica(replica));
      }
      ApplyLeaves(replicas, WallTimeOf(leaves.getRecordedAtMs()));
      return {};
    }
    case wire::FleetCommand::VERSION_START: {
      auto start = command.getVersionStart();
      ApplyVersionStart(ToString(start.getService()),
                        ToString(start.getVersion()),
                        WallTimeOf(start.getStartedAtMs()));
      return {};
    }
  }
  KJ_FAIL_REQUIRE("unknown command", static_cast<int>(command.which()));
}

Bytes
FleetState::ApplyUsage(const UsageWindow& aUsage)
{
  // The first counts of a window are final, so that every report of the window
  // is identical.
  auto [it, isNew] = usage_.emplace(aUsage.window_, aUsage.counts_);
  capnp::MallocMessageBuilder reply;
  WriteUsage(reply.initRoot<wire::UsageWindow>(), { it->first, it->second });
  while (usage_.size() > kKeptWindows) {
    usage_.erase(usage_.begin());
  }
  return Flatten(reply);
}

RolloutReply
FleetState::ApplyStart(const RolloutOrder& aOrder)
{
  const Rollout* latest = FindRollout(aOrder.service_);
  RolloutReply reply =
    latest == nullptr ? RolloutReply::Accepted : Judge(*latest, aOrder);
  if (reply != RolloutReply::Accepted) {
    return reply;
  }
  std::uint64_t id = ++lastRolloutId_;
  rollouts_[aOrder.service_] = { id, aOrder, RolloutState::Running, {} };
  LogEvent(Severity::Info,
           "rollout started",
           { { "service", aOrder.service_ },
             { "version", aOrder.version_ },
             { "id", id },
             { "duration_ms", aOrder.duration_.count() } });
  NotifyChange();
  return reply;
}

void
FleetState::ApplyEnd(std::uint64_t aId, RolloutState aState, WallTime aEndedAt)
{
  auto it = std::find_if(rollouts_.begin(), rollouts_.end(), [aId](auto& aIt) {
    return aIt.second.id_ == aId;
  });
  if (it == rollouts_.end() || it->second.state_ != RolloutState::Running ||
      aState == RolloutState::Running) {
    return;
  }
  Rollout& rollout = it->second;
  rollout.state_ = aState;
  rollout.endedAt_ = aEndedAt;
  LogEvent(Severity::Info,
           "rollout ended",
           { { "service", rollout.order_.service_ },
             { "version", rollout.order_.version_ },
             { "id", aId },
             { "state", NameOf(aState) } });
  NotifyChange();
}

void
FleetState::ApplyLeaves(const std::vector<Replica>& aReplicas,
                        WallTime aRecordedAt)
{
  for (const auto& replica : aReplicas) {
    leaves_.Record(replica, aRecordedAt);
  }
  NotifyChange();
}

void
FleetState::ApplyVersionStart(const std::string& aService,
                              const std::string& aVersion,
                              WallTime aStartedAt)
{
  versionStarts_[{ aService, aVersion }] = aStartedAt;
  auto begin = versionStarts_.lower_bound({ aService, "" });
  auto end = std::find_if(begin, versionStarts_.end(), [&](const auto& aIt) {
    return aIt.first.first != aService;
  });
  if (static_cast<std::size_t>(std::distance(begin, end)) > kKeptVersions) {
    versionStarts_.erase(
      std::min_element(begin, end, [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      }));
  }
  NotifyChange();
}

void
FleetState::NotifyChange() const
{
  if (onChange_) {
    onChange_();
  }
}

void
FleetState::ApplyDeclare(const DeclarationNumber& aNumber,
                         DocumentEncoding aEncoding,
                         BytesView aPayload)
{
  if (aNumber <= NumberOf(current_)) {
    return;
  }
  auto document = DecodeDocument(aEncoding, aPayload, {});
  if (!document) {
    LogEvent(Severity::Error,
             "declaration not restored",
             { { "number", aNumber }, { "error", document.error().detail_ } });
    return;
  }
  current_ = Declaration{ *aNumber, std::move(*document) };
  NotifyChange();
}

Bytes
FleetState::MakeDeclareReply() const
{
  capnp::MallocMessageBuilder message;
  WriteNumber(message.initRoot<wire::FleetSnapshot>(), NumberOf(current_));
  return Flatten(message);
}

Bytes
FleetState::AnswerQuery(BytesView aQuery) const
{
  capnp::MallocMessageBuilder message;
  auto answer = message.initRoot<wire::FleetSnapshot>();
  WriteNumber(answer, NumberOf(current_));
  if (aQuery.empty() && current_) {
    answer.setDocument(ToData(ViewOf(current_->document_)));
  }
  WriteRollouts(answer, rollouts_);
  return Flatten(message);
}

Bytes
FleetState::TakeSnapshot() const
{
  capnp::MallocMessageBuilder message;
  auto snapshot = message.initRoot<wire::FleetSnapshot>();
  WriteNumber(snapshot, NumberOf(current_));
  if (current_) {
    snapshot.setDocument(ToData(ViewOf(current_->document_)));
  }
  WriteRollouts(snapshot, rollouts_);
  snapshot.setLastRolloutId(lastRolloutId_);
  WriteLeaves(snapshot, leaves_);
  WriteVersionStarts(snapshot, versionStarts_);
  auto usage = snapshot.initUsage(usage_.size());
  unsigned i = 0;
  for (const auto& [window, counts] : usage_) {
    WriteUsage(usage[i++], { window, counts });
  }
  return Flatten(message);
}

void
FleetState::InstallSnapshot(BytesView aSnapshot)
{
  FlatMessage message(aSnapshot);
  auto snapshot = message.Root<wire::FleetSnapshot>();
  current_ = ReadDeclaration(snapshot);
  rollouts_ = ReadRollouts(snapshot);
  lastRolloutId_ = snapshot.getLastRolloutId();
  leaves_ = ReadLeaves(snapshot);
  versionStarts_ = ReadVersionStarts(snapshot);
  usage_.clear();
  for (auto window : snapshot.getUsage()) {
    auto usage = ReadUsage(window);
    usage_[usage.window_] = usage.counts_;
  }
  NotifyChange();
}

} // namespace tanagerstall
