#ifndef TANAGERSTALL_MEMBER_DIRECTORY_HPP_INCLUDED
#define TANAGERSTALL_MEMBER_DIRECTORY_HPP_INCLUDED

#include "tanagerstall/process/raft/tanagerstall_raft_types.hpp"
#include "tanagerstall/version/tanagerstall_document_encoding.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace tanagerstall {

/// The members of the control cluster, as entries and other members connect to
/// them, and what their builds can do.
class MemberDirectory
{
public:
  /// `aPort` is the port at which every member serves entries.
  void Update(const Membership& aMembers, std::uint16_t aPort);
  /// Records whether the member at an address applies compressed declarations.
  void RecordCapability(const std::string& aAddress, bool aReadsCompressed);
  const std::vector<std::string>& Addresses() const { return addresses_; }
  /// Returns the encoding of declarations that all members are known to apply.
  DocumentEncoding CommandEncoding() const;

private:
  std::vector<std::string> addresses_;
  /// Members that apply compressed declarations.
  std::set<std::string> readCompressed_;
};

} // namespace tanagerstall

#endif
