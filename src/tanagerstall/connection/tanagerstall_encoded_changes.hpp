#ifndef TANAGERSTALL_ENCODED_CHANGES_HPP_INCLUDED
#define TANAGERSTALL_ENCODED_CHANGES_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_fleet_codec.hpp"

#include <functional>
#include <map>
#include <memory>
#include <tuple>

namespace tanagerstall {

/// Changes of replicas that were written for one entry, for the others that
/// hold the same position.
class EncodedChanges
{
public:
  using ReadChanges = std::function<std::vector<Replica>()>;

  /// Returns the changes of a list from one position to another; null if there
  /// are none. `aRead` is called unless they were written since Clear().
  std::shared_ptr<const EncodedReplicas> Get(std::uint64_t aRun,
                                             std::uint64_t aFrom,
                                             std::uint64_t aTo,
                                             const ReadChanges& aRead);
  /// Forgets all changes; after a publication they are no longer requested.
  void Clear() { changes_.clear(); }

private:
  std::map<std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>,
           std::shared_ptr<const EncodedReplicas>>
    changes_;
};

} // namespace tanagerstall

#endif
