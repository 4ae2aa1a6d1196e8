#ifndef TANAGERSTALL_PEER_SCHEDULE_HPP_INCLUDED
#define TANAGERSTALL_PEER_SCHEDULE_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerstall {

/// How often an entry pulls from the next of its peers, in milliseconds.
constexpr int kPullIntervalMs = 250;

/// The peers that an entry pulls from, in the order of its rounds: those at
/// distances 3^j and 2 * 3^j in the ring of entry ids, so that each entry has
/// at most 2 * log3(n) of them.
std::vector<std::string>
PeersOf(const std::string& aSelf, std::vector<std::string> aEntries);

/// The peer to pull from in one round; the rounds go through all of them.
/// Nothing without peers.
const std::string*
PeerOfRound(const std::vector<std::string>& aPeers, std::uint64_t aRound);

} // namespace tanagerstall

#endif
