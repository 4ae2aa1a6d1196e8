#ifndef TANAGERSTALL_PEER_SCHEDULE_HPP_INCLUDED
#define TANAGERSTALL_PEER_SCHEDULE_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerstall {

/// The interval between an entry's pulls, in milliseconds. Each pull goes to
/// the next of its peers.
constexpr int kPullIntervalMs = 250;

/// Returns the peers that an entry pulls from, in the order of its rounds: the
/// entries at distances 3^j and 2 * 3^j in the ring of sorted entry ids. Each
/// of n entries has about 2 * log3(n) peers.
std::vector<std::string>
PeersOf(const std::string& aSelf, std::vector<std::string> aEntries);

/// Returns the peer to pull from in a round, cycling through `aPeers`; nullptr
/// if there are none.
const std::string*
PeerOfRound(const std::vector<std::string>& aPeers, std::uint64_t aRound);

} // namespace tanagerstall

#endif
