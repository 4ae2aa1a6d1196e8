#include "tanagerstall/version/tanagerstall_configuration_view.hpp"

#include "tanagerstall/version/tanagerstall_record_codec.hpp"

#include <set>

namespace tanagerstall {

namespace {

/// Returns the keys of all records of a configuration.
std::set<std::string>
KeysOf(const Configuration& aConfiguration)
{
  std::set<std::string> keys{ "policy/cluster" };
  for (const auto& [name, service] : aConfiguration.services_) {
    keys.insert("service/" + name);
  }
  for (const auto& [name, replicas] : aConfiguration.replicas_) {
    keys.insert("replicas/" + name);
  }
  for (const auto& [name, organisation] : aConfiguration.organisations_) {
    keys.insert("organisation/" + name);
  }
  return keys;
}

/// Removes the records that a snapshot no longer contains.
void
RemoveAbsent(Configuration& aConfiguration,
             const std::vector<StoredRecord>& aPresent)
{
  auto absent = KeysOf(aConfiguration);
  for (const StoredRecord& record : aPresent) {
    absent.erase(record.key_);
  }
  for (const std::string& key : absent) {
    RemoveRecord(aConfiguration, key);
  }
}

} // namespace

ConfigurationView::ConfigurationView(ErrorHook aOnError)
  : onError_(std::move(aOnError))
  , current_(std::make_shared<const Configuration>())
{
}

ConfigurationView::Outcome
ConfigurationView::Apply(const ConfigurationUpdate& aUpdate, TimePoint aNow)
{
  bool isFirst = !isConfirmed_;
  if (isFirst && !aUpdate.isConfirmed_) {
    return Outcome::Ignored;
  }
  bool isBehind = aUpdate.revision_ < Revision();
  bool hasGap = !aUpdate.isSnapshot_ && aUpdate.after_ > Revision();
  if (isBehind || hasGap) {
    return Outcome::Ignored;
  }
  isConfirmed_ = true;
  confirmedAt_ = aNow;
  if (!isFirst && aUpdate.revision_ == Revision()) {
    return Outcome::Unchanged;
  }
  current_ = Merge(aUpdate);
  return Outcome::Changed;
}

std::shared_ptr<const Configuration>
ConfigurationView::Merge(const ConfigurationUpdate& aUpdate) const
{
  auto next = std::make_shared<Configuration>(*current_);
  if (aUpdate.isSnapshot_) {
    RemoveAbsent(*next, aUpdate.records_);
  }
  for (const StoredRecord& record : aUpdate.records_) {
    if (record.isDeleted_) {
      RemoveRecord(*next, record.key_);
      continue;
    }
    auto applied = ApplyRecord(*next, { record.key_, record.body_ });
    if (!applied && onError_) {
      onError_(applied.error());
    }
  }
  next->revision_ = aUpdate.revision_;
  return next;
}

} // namespace tanagerstall
