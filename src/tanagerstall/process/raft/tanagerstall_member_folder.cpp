#include "tanagerstall/process/raft/tanagerstall_member_folder.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"

#include <algorithm>
#include <thread>

namespace tanagerstall {

namespace {

/// Opens the folder and waits until a file can be written: as long as the disk
/// is full, and up to 20 s after another failure.
LogDisk
OpenWritableDisk(const std::filesystem::path& aFolder)
{
  constexpr const char* kProbe = "probe";
  constexpr int kMaxAttempts = 100;
  constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
  LogDisk disk = OpenLogDisk(aFolder);
  bool isLogged = false;
  auto logOnce = [&isLogged](const DiskError& aError) {
    if (!std::exchange(isLogged, true)) {
      LogEvent(Severity::Warning,
               "disk takes no writes",
               { { "error", aError.what() } });
    }
  };
  int failures = 0;
  while (failures < kMaxAttempts) {
    try {
      ReplaceFile(disk, kProbe, ViewOf("writable"));
      return disk;
    } catch (const DiskFullError& error) {
      logOnce(error);
    } catch (const DiskError& error) {
      logOnce(error);
      ++failures;
    }
    std::this_thread::sleep_for(kRetryDelay);
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

/// Removes the files of a founder that stopped before it wrote its identity.
/// It has not sent a message yet, so that it can start from an empty folder.
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

/// Returns whether this start creates the cluster; false if the folder already
/// belongs to a member. Throws DiskError for a bootstrap in a used folder.
bool
IsFoundingStart(const MemberSettings& aSettings, const LogDisk& aDisk)
{
  if (aSettings.founders_.empty()) {
    if (aSettings.isBootstrap_ && HasFiles(aDisk)) {
      throw DiskError("the data folder is in use: a new cluster needs an "
                      "empty folder; start without --bootstrap to continue "
                      "with the folder's data");
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

/// Throws DiskError if the folder lost some of its files: the member may have
/// voted or confirmed entries, and must not vote again without knowing them.
void
CheckFiles(const MemberFolder& aFolder)
{
  if (aFolder.isFresh_ && HasFiles(aFolder.disk_)) {
    throw DiskError("the identity file is missing; replace this member");
  }
  if (!aFolder.isFresh_ &&
      !aFolder.disk_.read_(std::string(kGroupNames[0]) + ".log")) {
    throw DiskError("the configuration log is missing; replace this member");
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
    throw DiskError("the data folder belongs to the member " +
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
