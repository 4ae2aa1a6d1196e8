#include "tanagerstall/process/presence/tanagerstall_peer_schedule.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// Reorders peers so that near and far ones alternate. Changes then travel both
/// short and long distances in every part of a cycle of rounds.
std::vector<std::string>
Interleave(const std::vector<std::string>& aPeers)
{
  constexpr std::size_t kStride = 4;
  std::vector<std::string> mixed;
  for (std::size_t start = 0; start < kStride; ++start) {
    for (std::size_t i = start; i < aPeers.size(); i += kStride) {
      mixed.push_back(aPeers[i]);
    }
  }
  return mixed;
}

} // namespace

std::vector<std::string>
PeersOf(const std::string& aSelf, std::vector<std::string> aEntries)
{
  aEntries.push_back(aSelf);
  std::sort(aEntries.begin(), aEntries.end());
  aEntries.erase(std::unique(aEntries.begin(), aEntries.end()), aEntries.end());
  auto count = aEntries.size();
  auto self = static_cast<std::size_t>(
    std::lower_bound(aEntries.begin(), aEntries.end(), aSelf) -
    aEntries.begin());
  std::vector<std::string> peers;
  for (std::size_t step = 1; step < count; step *= 3) {
    peers.push_back(aEntries[(self + step) % count]);
    if (2 * step < count) {
      peers.push_back(aEntries[(self + 2 * step) % count]);
    }
  }
  return Interleave(peers);
}

const std::string*
PeerOfRound(const std::vector<std::string>& aPeers, std::uint64_t aRound)
{
  return aPeers.empty() ? nullptr : &aPeers[aRound % aPeers.size()];
}

} // namespace tanagerstall
