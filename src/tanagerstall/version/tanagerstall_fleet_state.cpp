#include "tanagerstall/version/tanagerstall_fleet_state.hpp"

#include "tanagerstall/internal/tanagerstall_fleet_wire.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"

namespace tanagerstall {

namespace {

/// Windows retained so that a usage report can be repeated with equal counts.
constexpr std::size_t kKeptWindows = 64;

Bytes
EncodeSnapshot(const Declaration& aDeclaration,
               const std::map<std::int64_t, CountsByName>& aUsage)
{
  capnp::MallocMessageBuilder message;
  auto snapshot = message.initRoot<wire::FleetSnapshot>();
  snapshot.setNumber(aDeclaration.number_);
  snapshot.setDocument(ToData(ViewOf(aDeclaration.document_)));
  auto usage = snapshot.initUsage(aUsage.size());
  unsigned i = 0;
  for (const auto& [window, counts] : aUsage) {
    WriteUsage(usage[i++], { window, counts });
  }
  return Flatten(message);
}

} // namespace

FleetState::FleetState(ChangeHook aOnDeclaration)
  : onDeclaration_(std::move(aOnDeclaration))
{
}

StateMachine
FleetState::AsStateMachine()
{
  return { [this](BytesView aCommand) { return Apply(aCommand); },
           [this](BytesView) { return EncodeSnapshot(current_, {}); },
           [this] { return TakeSnapshot(); },
           [this](BytesView aSnapshot) { InstallSnapshot(aSnapshot); } };
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

Declaration
FleetState::DecodeDeclaration(BytesView aBytes)
{
  FlatMessage message(aBytes);
  auto snapshot = message.Root<wire::FleetSnapshot>();
  return { snapshot.getNumber(), TextOf(ToBytes(snapshot.getDocument())) };
}

UsageWindow
FleetState::DecodeUsage(BytesView aBytes)
{
  FlatMessage message(aBytes);
  return ReadUsage(message.Root<wire::UsageWindow>());
}

Bytes
FleetState::Apply(BytesView aCommand)
{
  FlatMessage message(aCommand);
  auto command = message.Root<wire::FleetCommand>();
  if (command.isDeclare()) {
    auto declare = command.getDeclare();
    ApplyDeclare(declare.getNumber(),
                 ReadEncoding(declare.getEncoding()),
                 ToBytes(declare.getDocument()));
    return {};
  }
  // The first counts of a window are final, so that every report of the window
  // is identical.
  auto usage = ReadUsage(command.getUsage());
  auto [it, isNew] = usage_.emplace(usage.window_, usage.counts_);
  capnp::MallocMessageBuilder reply;
  WriteUsage(reply.initRoot<wire::UsageWindow>(), { it->first, it->second });
  while (usage_.size() > kKeptWindows) {
    usage_.erase(usage_.begin());
  }
  return Flatten(reply);
}

void
FleetState::ApplyDeclare(std::uint64_t aNumber,
                         DocumentEncoding aEncoding,
                         BytesView aPayload)
{
  if (aNumber <= current_.number_) {
    return;
  }
  auto document = DecodeDocument(aEncoding, aPayload, {});
  if (!document) {
    LogEvent(Severity::Error,
             "declaration not restored",
             { { "number", aNumber }, { "error", document.error().detail_ } });
    return;
  }
  current_ = { aNumber, std::move(*document) };
  if (onDeclaration_) {
    onDeclaration_();
  }
}

Bytes
FleetState::TakeSnapshot() const
{
  return EncodeSnapshot(current_, usage_);
}

void
FleetState::InstallSnapshot(BytesView aSnapshot)
{
  FlatMessage message(aSnapshot);
  auto snapshot = message.Root<wire::FleetSnapshot>();
  current_ = { snapshot.getNumber(), TextOf(ToBytes(snapshot.getDocument())) };
  usage_.clear();
  for (auto window : snapshot.getUsage()) {
    auto usage = ReadUsage(window);
    usage_[usage.window_] = usage.counts_;
  }
  if (onDeclaration_) {
    onDeclaration_();
  }
}

} // namespace tanagerstall
