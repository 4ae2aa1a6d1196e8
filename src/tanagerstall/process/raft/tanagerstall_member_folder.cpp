#include "tanagerstall/process/raft/tanagerstall_member_folder.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"

#include <algorithm>
#include <thread>

namespace tanagerstall {

namespace {

/// Waits until the folder takes a write: a member that ended because its disk
/// was full would only end again.
LogDisk
OpenWritableDisk(const std::filesystem::path& aFolder)
{
  constexpr const char* kProbe = "probe";
  constexpr int kMaxAttempts = 100;
  constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
  LogDisk disk = OpenLogDisk(aFolder);
  for (int i = 0; i < kMaxAttempts; ++i) {
    try {
      ReplaceFile(disk, kProbe, ViewOf("writable"));
      return disk;
    } catch (const DiskError& error) {
      LogEvent(Severity::Warning,
               "disk takes no writes",
               { { "error", error.what() } });
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
  return disk;
}

bool
HasFiles(const LogDisk& aDisk)
{
  for (const std::string name : kGroupNames) {
    if (aDisk.read_(name + ".log") || aDisk.read_(name + ".snapshot")) {
      return true;
    }
  }
  return aDisk.read_("identity").has_value();
}

/// A founder that stopped before it wrote its identity has told nobody
/// anything, and begins anew.
void
RemoveUnfinishedBootstrap(const LogDisk& aDisk)
{
  for (const std::string name : kGroupNames) {
    for (const auto& file : { name + ".log", name + ".snapshot" }) {
      if (aDisk.read_(file)) {
        aDisk.remove_(file);
      }
    }
  }
  aDisk.syncFolder_();
}

/// Whether this start founds the cluster; one that was founded goes on.
bool
IsFoundingStart(const MemberSettings& aSettings, const LogDisk& aDisk)
{
  if (aSettings.founders_.empty()) {
    if (aSettings.isBootstrap_ && HasFiles(aDisk)) {
      throw DiskError("the data folder is in use: a new cluster needs an "
                      "empty folder; start without --bootstrap to go on with "
                      "what the folder holds");
    }
    return aSettings.isBootstrap_;
  }
  if (aDisk.read_("identity")) {
    return false;
  }
  RemoveUnfinishedBootstrap(aDisk);
  return aSettings.isBootstrap_ &&
         std::find(aSettings.founders_.begin(),
                   aSettings.founders_.end(),
                   aSettings.memberAddress_) != aSettings.founders_.end();
}

/// A folder that lost a part of its files must not vote.
void
CheckFiles(const MemberFolder& aFolder)
{
  if (aFolder.isFresh_ && HasFiles(aFolder.disk_)) {
    throw DiskError("the identity file is missing; replace this member");
  }
  if (!aFolder.isFresh_ &&
      !aFolder.disk_.read_(std::string(kGroupNames[0]) + ".log")) {
    throw DiskError("the log is missing; replace this member");
  }
}

} // namespace

MemberFolder
OpenMemberFolder(const MemberSettings& aSettings)
{
  MemberFolder folder;
  folder.disk_ = OpenWritableDisk(aSettings.dataFolder_);
  folder.isBootstrap_ = IsFoundingStart(aSettings, folder.disk_);
  auto identity = ReadIdentity(folder.disk_);
  folder.isFresh_ = !identity;
  folder.identity_ = identity ? *identity : MakeIdentity(aSettings.name_);
  if (folder.isFresh_ && folder.isBootstrap_ && !aSettings.founders_.empty()) {
    folder.identity_.member_.key_ = FounderKey(aSettings.memberAddress_);
  }
  if (folder.identity_.member_.name_ != aSettings.name_) {
    throw DiskError("the data folder is of the member " +
                    folder.identity_.member_.name_);
  }
  CheckFiles(folder);
  return folder;
}

Membership
FirstMembers(const MemberSettings& aSettings, const MemberIdentity& aIdentity)
{
  if (aSettings.founders_.empty()) {
    return { aIdentity.member_ };
  }
  Membership members;
  for (const auto& founder : aSettings.founders_) {
    Member member;
    member.key_ = FounderKey(founder);
    member.name_ = founder.ToString();
    member.memberAddress_ = founder.ToString();
    members.push_back(member);
  }
  return members;
}

std::string
NewClusterName(const MemberSettings& aSettings)
{
  if (aSettings.founders_.empty()) {
    return MakeClusterName();
  }
  std::string all;
  for (const auto& founder : aSettings.founders_) {
    all += founder.ToString() + ",";
  }
  return "cluster-" + std::to_string(Checksum(ViewOf(all)));
}

} // namespace tanagerstall
