#include "tanagerstall/process/presence/tanagerstall_version_gate.hpp"

namespace tanagerstall {

VersionGate::VersionGate(ProposeHook aPropose, AcceptHook aAccept)
  : propose_(std::move(aPropose))
  , accept_(std::move(aAccept))
{
}

void
VersionGate::Hold(const Replica& aReplica)
{
  Key version{ aReplica.service_, aReplica.version_ };
  auto [held, isFirst] = held_.try_emplace(version);
  held->second[aReplica.id_] = aReplica;
  if (isFirst) {
    propose_(version.first, version.second, [this, version](bool aIsRecorded) {
      OnProposed(version, aIsRecorded);
    });
  }
}

void
VersionGate::OnProposed(const Key& aVersion, bool aIsRecorded)
{
  auto held = held_.extract(aVersion);
  if (held.empty() || !aIsRecorded) {
    return;
  }
  for (const auto& [id, replica] : held.mapped()) {
    accept_(replica);
  }
}

} // namespace tanagerstall
