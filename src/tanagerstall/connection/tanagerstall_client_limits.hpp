#ifndef TANAGERSTALL_CLIENT_LIMITS_HPP_INCLUDED
#define TANAGERSTALL_CLIENT_LIMITS_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/process/tanagerstall_memory_budget.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace tanagerstall {

/// Why a client's request was refused or its connection closed.
enum class ClientFault
{
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
  ChunkOverhead,
  TooSlow,
  OutOfMemory,
  AddressOutOfMemory,
  Evicted,
  TooManyConnections,
  TooManyOfAddress
};

constexpr std::size_t kClientFaultCount = 10;

const char*
ToString(ClientFault aFault);

/// The settings of a process that bound what its clients may use.
struct ClientSettings
{
  /// Memory for requests of all HTTP servers.
  std::size_t memoryBytes_ = 112UL << 20U;
  std::size_t maxConnections_ = 4096;
  std::size_t maxConnectionsOfAddress_ = 3072;
  std::uint64_t maxChunkOverheadBytes_ = 64ULL << 10U;
  /// Without it, the idle time of the configuration applies.
  std::optional<Duration> bodyIdleTimeout_;
  Duration bodyTimeout_ = std::chrono::seconds(60);
};

/// What the HTTP servers of a process share: the memory for requests, the
/// requests that are being read, and counts of what was refused. Thread-safe.
class ClientLimits
{
public:
  /// A request that is being read.
  struct Reader
  {
    TimePoint movedAt_;
    /// Stops the reading, from any thread.
    std::function<void()> stop_;
  };
  using Readers = std::list<Reader>;

  /// A request without a new byte for this long is stalled. Well above a round
  /// trip between regions.
  static constexpr Duration kStallTime = std::chrono::seconds(1);

  explicit ClientLimits(MemoryBudget::Limits aMemory);

  const std::shared_ptr<MemoryBudget>& Memory() const { return memory_; }

  /// Counts and logs a fault of a client.
  void Record(ClientFault aFault, const std::string& aAddress);
  /// The faults so far, by reason.
  std::map<std::string, std::uint64_t> Faults() const;

  Readers::iterator AddReader(std::function<void()> aStop, TimePoint aNow);
  void RemoveReader(Readers::iterator aReader);
  /// Records that a request received bytes.
  void MoveReader(Readers::iterator aReader, TimePoint aNow);
  /// Stops the request that has been stalled for the longest time; false if
  /// none is stalled.
  bool StopOldestStalled(TimePoint aNow);

private:
  std::shared_ptr<MemoryBudget> memory_;
  std::array<std::atomic<std::uint64_t>, kClientFaultCount> faults_{};
  std::mutex mutex_;
  /// Those without progress for the longest time first.
  Readers readers_;
};

} // namespace tanagerstall

#endif
