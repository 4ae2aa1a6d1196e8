#ifndef TANAGERSTALL_MEMBER_DIRECTORY_HPP_INCLUDED
#define TANAGERSTALL_MEMBER_DIRECTORY_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_raft_types.hpp"
#include "tanagerstall/version/tanagerstall_document_encoding.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerstall {

/// What the build of a member can do.
struct MemberCapabilities
{
  /// Whether it applies compressed declarations.
  bool readsCompressed_ = false;
  /// Whether it applies the commands of roll-outs.
  bool appliesRollouts_ = false;
  /// Whether it applies a declaration with number 0.
  bool appliesNumberZero_ = false;
};

/// The members of the control cluster, as entries and other members connect to
/// them, and what their builds can do.
class MemberDirectory
{
public:
  /// `aPort` is the port at which every member serves entries.
  void Update(const Membership& aMembers, std::uint16_t aPort);
  /// Records what the member at an address can do.
  void RecordCapabilities(const std::string& aAddress,
                          const MemberCapabilities& aCapabilities);
  const std::vector<std::string>& Addresses() const { return addresses_; }
  /// Returns the encoding of declarations that all members are known to apply.
  DocumentEncoding CommandEncoding() const;
  /// Returns whether all members are known to apply the commands of roll-outs.
  bool CanAllApplyRollouts() const;
  /// Returns whether all members are known to apply a declaration with number
  /// 0. Earlier builds pass over it.
  bool CanAllApplyNumberZero() const;

private:
  bool CanAll(bool MemberCapabilities::*aCapability) const;

  std::vector<std::string> addresses_;
  /// By address, of the members that have been heard.
  std::map<std::string, MemberCapabilities> capabilities_;
};

} // namespace tanagerstall

#endif
