#include "tanagerstall/connection/tanagerstall_encoded_changes.hpp"

namespace tanagerstall {

std::shared_ptr<const EncodedReplicas>
EncodedChanges::Get(std::uint64_t aRun,
                    std::uint64_t aFrom,
                    std::uint64_t aTo,
                    const ReadChanges& aRead)
{
  if (aFrom >= aTo) {
    return nullptr;
  }
  auto& changes = changes_[{ aRun, aFrom, aTo }];
  if (!changes) {
    changes = std::make_shared<const EncodedReplicas>(aRead());
  }
  return changes;
}

} // namespace tanagerstall
