#ifndef TANAGERSTALL_REQUEST_RANK_HPP_INCLUDED
#define TANAGERSTALL_REQUEST_RANK_HPP_INCLUDED

#include <cstdint>
#include <optional>

namespace tanagerstall {

/// The rank of the least urgent requests, and the last one that engines know.
constexpr std::uint32_t kLastRank = 9;

/// Returns the rank of a request from 0, the most urgent, to kLastRank. The
/// priority of its organisation, if it has one, goes before that of its route,
/// which orders the requests of organisations with the same priority.
std::uint32_t
RankOf(std::optional<std::uint32_t> aOrganisationPriority,
       std::uint32_t aRoutePriority);

} // namespace tanagerstall

#endif
