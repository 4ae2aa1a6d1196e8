#include "tanagerstall/process/raft/tanagerstall_raft_identity.hpp"

#include "tanagerstall/internal/tanagerstall_wire.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_codec.hpp"

namespace tanagerstall {

namespace {

constexpr std::uint32_t kIdentityVersion = 1;
constexpr const char* kIdentityFile = "identity";
constexpr std::size_t kClusterBytes = 8;

} // namespace

MemberIdentity
MakeIdentity(const std::string& aName)
{
  MemberIdentity identity;
  identity.member_.name_ = aName;
  while (identity.member_.key_ == 0) {
    identity.member_.key_ = std::stoull(RandomHex(8), nullptr, 16);
  }
  return identity;
}

MemberKey
FounderKey(const Address& aMemberAddress)
{
  // Setting the lowest bit avoids key 0, which stands for no member.
  return Checksum(ViewOf(aMemberAddress.ToString())) | 1U;
}

std::string
MakeClusterName()
{
  return RandomHex(kClusterBytes);
}

std::optional<MemberIdentity>
ReadIdentity(const LogDisk& aDisk)
{
  auto file = aDisk.read_(kIdentityFile);
  if (!file) {
    return std::nullopt;
  }
  auto scan = ScanFrames(*file, kIdentityFile);
  if (scan.frames_.size() != 1 || scan.end_ != file->size()) {
    throw DiskError("the identity file is corrupt; replace this member");
  }
  FlatMessage message(scan.frames_[0]);
  auto frame = message.Root<wire::IdentityFrame>();
  if (frame.getVersion() != kIdentityVersion) {
    throw DiskError("the identity file has an unknown version");
  }
  return MemberIdentity{ ToString(frame.getCluster()),
                         { frame.getKey(),
                           ToString(frame.getName()),
                           ToString(frame.getMemberAddress()),
                           ToString(frame.getControlAddress()),
                           false } };
}

void
WriteIdentity(const LogDisk& aDisk, const MemberIdentity& aIdentity)
{
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<wire::IdentityFrame>();
  frame.setVersion(kIdentityVersion);
  frame.setCluster(ToText(aIdentity.cluster_));
  frame.setKey(aIdentity.member_.key_);
  frame.setName(ToText(aIdentity.member_.name_));
  frame.setMemberAddress(ToText(aIdentity.member_.memberAddress_));
  frame.setControlAddress(ToText(aIdentity.member_.controlAddress_));
  ReplaceFile(aDisk, kIdentityFile, MakeFrame(Flatten(message)));
}

} // namespace tanagerstall
