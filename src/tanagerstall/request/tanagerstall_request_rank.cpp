#include "tanagerstall/request/tanagerstall_request_rank.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// The priorities of routes that are told apart within one priority of
/// organisations. Ten ranks have room for three of both.
constexpr std::uint32_t kRoutePriorities = 3;

} // namespace

std::uint32_t
RankOf(std::optional<std::uint32_t> aOrganisationPriority,
       std::uint32_t aRoutePriority)
{
  std::uint32_t first =
    std::min(aOrganisationPriority.value_or(aRoutePriority), kLastRank);
  std::uint32_t second = std::min(aRoutePriority, kRoutePriorities - 1);
  return std::min(kRoutePriorities * first + second, kLastRank);
}

} // namespace tanagerstall
