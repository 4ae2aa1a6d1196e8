#include "tanagerstall/version/tanagerstall_configuration_check.hpp"

#include "tanagerstall/version/tanagerstall_record_codec.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

constexpr std::string_view kServicePrefix = "service/";
constexpr std::string_view kReplicasPrefix = "replicas/";
constexpr std::string_view kOrganisationPrefix = "organisation/";

/// Validates the changes of one command against the stored records.
class CommandCheck
{
public:
  explicit CommandCheck(const RecordMap& aRecords)
    : records_(aRecords)
  {
  }

  void Add(const RecordChange& aChange)
  {
    if (!IsRecordKey(aChange.key_)) {
      return AddRefusal(aChange.key_, "", "is not a record's kind and name");
    }
    if (after_.contains(aChange.key_)) {
      return AddRefusal(aChange.key_, "", "is given twice");
    }
    const StoredRecord* current = FindStored(aChange.key_);
    bool isLive = current != nullptr && !current->isDeleted_;
    std::string before = isLive ? current->body_ : "";
    std::string after;
    if (!aChange.isDeleted_) {
      auto record = ReadRecord(aChange.body_, before);
      if (!record) {
        return AddRefusal(
          aChange.key_, record.error().field_, record.error().message_);
      }
      if (record->key_ != aChange.key_) {
        return AddRefusal(aChange.key_, "name", "is not that of the record");
      }
      after = record->body_;
    } else if (current == nullptr) {
      return AddRefusal(aChange.key_, "", "can't be deleted: there is none");
    }
    AddOutcomeOrConflict(aChange, current, before, after);
  }

  ConfigurationResult Finish()
  {
    for (const auto& [key, body] : after_) {
      CheckReferences(key, body);
    }
    CheckTokenHashes();
    result_.isApplied_ =
      result_.conflicts_.empty() && result_.refusals_.empty();
    return std::move(result_);
  }

private:
  void AddRefusal(const std::string& aRecord,
                  std::string aField,
                  std::string aMessage)
  {
    result_.refusals_.push_back(
      { aRecord, std::move(aField), std::move(aMessage) });
  }

  const StoredRecord* FindStored(std::string_view aKey) const
  {
    auto it = records_.find(aKey);
    return it == records_.end() ? nullptr : &it->second;
  }

  /// Returns whether the record exists once the command is applied.
  bool IsPresentAfterCommand(const std::string& aKey) const
  {
    if (auto it = after_.find(aKey); it != after_.end()) {
      return !it->second.empty();
    }
    const StoredRecord* stored = FindStored(aKey);
    return stored != nullptr && !stored->isDeleted_;
  }

  /// Adds a conflict if the stored version is not the expected one, or else the
  /// outcome of the change.
  void AddOutcomeOrConflict(const RecordChange& aChange,
                            const StoredRecord* aCurrent,
                            const std::string& aBefore,
                            const std::string& aAfter)
  {
    std::uint64_t version = aCurrent == nullptr ? 0 : aCurrent->version_;
    auto stored = static_cast<std::int64_t>(version);
    bool isSame = aBefore == aAfter;
    bool isExpected = aChange.expectedVersion_ == RecordChange::kAnyVersion ||
                      aChange.expectedVersion_ == stored;
    // A write that repeats the stored content and expects the version before
    // it is a retransmission of the write that stored it, not a conflict.
    bool isResent = isSame && aChange.expectedVersion_ + 1 == stored;
    after_[aChange.key_] = aAfter;
    if (!isExpected && !isResent) {
      result_.conflicts_.push_back(
        aCurrent == nullptr ? StoredRecord{ aChange.key_, 0, 0, true, "", "" }
                            : *aCurrent);
      return;
    }
    ChangeOutcome outcome{
      aChange.key_, ChangeAction::Unchanged, version, aBefore, aAfter
    };
    if (!isSame) {
      outcome.action_ = aAfter.empty()    ? ChangeAction::Deleted
                        : aBefore.empty() ? ChangeAction::Created
                                          : ChangeAction::Changed;
      outcome.version_ = version + 1;
    }
    result_.changes_.push_back(std::move(outcome));
  }

  void CheckReferences(const std::string& aKey, const std::string& aBody)
  {
    std::string name = aKey.substr(aKey.find('/') + 1);
    std::string service = std::string(kServicePrefix) + name;
    std::string replicas = std::string(kReplicasPrefix) + name;
    if (aKey.starts_with(kServicePrefix) && aBody.empty() &&
        IsPresentAfterCommand(replicas)) {
      AddRefusal(
        aKey, "", "can't be deleted: " + replicas + " is in use of it");
    }
    if (aKey.starts_with(kReplicasPrefix) && !aBody.empty() &&
        !IsPresentAfterCommand(service)) {
      AddRefusal(aKey, "name", "needs " + service + ", which is not declared");
    }
  }

  /// Refuses a token hash that belongs to two organisations, since a bearer
  /// token has to identify exactly one.
  void CheckTokenHashes()
  {
    bool hasOrganisationWrite =
      std::any_of(after_.begin(), after_.end(), [](const auto& aItem) {
        return aItem.first.starts_with(kOrganisationPrefix) &&
               !aItem.second.empty();
      });
    if (!hasOrganisationWrite) {
      return;
    }
    std::map<std::string, std::string> owners;
    for (auto it = records_.lower_bound(kOrganisationPrefix);
         it != records_.end() && it->first.starts_with(kOrganisationPrefix);
         ++it) {
      if (!it->second.isDeleted_ && !after_.contains(it->first)) {
        CollectTokenHashes(owners, it->first, it->second.body_);
      }
    }
    for (const auto& [key, body] : after_) {
      if (key.starts_with(kOrganisationPrefix) && !body.empty()) {
        CollectTokenHashes(owners, key, body);
      }
    }
  }

  /// Adds a record's token hashes to their owners and refuses duplicates.
  void CollectTokenHashes(std::map<std::string, std::string>& aOwners,
                          const std::string& aKey,
                          const std::string& aBody)
  {
    auto record = ReadCanonical(aBody);
    const auto* organisation =
      record ? std::get_if<OrganisationRecord>(&*record) : nullptr;
    if (organisation == nullptr) {
      return;
    }
    for (const std::string& hash : organisation->tokenHashes_) {
      auto [owner, isNew] = aOwners.emplace(hash, aKey);
      if (!isNew) {
        AddRefusal(aKey, "token_hashes", "names a hash of " + owner->second);
      }
    }
  }

  const RecordMap& records_;
  /// The bodies once the command is applied, by key; empty for a delete.
  std::map<std::string, std::string> after_;
  ConfigurationResult result_;
};

} // namespace

ConfigurationResult
CheckCommand(const RecordMap& aRecords, const ConfigurationCommand& aCommand)
{
  CommandCheck check(aRecords);
  for (const RecordChange& change : aCommand.changes_) {
    check.Add(change);
  }
  return check.Finish();
}

} // namespace tanagerstall
