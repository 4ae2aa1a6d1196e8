#include "tanagerstall/connection/tanagerstall_client_limits.hpp"

#include "tanagerstall/process/tanagerstall_log.hpp"

namespace tanagerstall {

const char*
ToString(ClientFault aFault)
{
  switch (aFault) {
    case ClientFault::Malformed:
      return "malformed";
    case ClientFault::HeadTooLarge:
      return "head_too_large";
    case ClientFault::BodyTooLarge:
      return "body_too_large";
    case ClientFault::ChunkOverhead:
      return "chunk_overhead";
    case ClientFault::TooSlow:
      return "too_slow";
    case ClientFault::OutOfMemory:
      return "out_of_memory";
    case ClientFault::AddressOutOfMemory:
      return "address_out_of_memory";
    case ClientFault::Evicted:
      return "evicted";
    case ClientFault::TooManyConnections:
      return "too_many_connections";
    case ClientFault::TooManyOfAddress:
      return "too_many_connections_of_address";
  }
  return "unknown";
}

ClientLimits::ClientLimits(MemoryBudget::Limits aMemory)
  : memory_(std::make_shared<MemoryBudget>(aMemory))
{
}

void
ClientLimits::Record(ClientFault aFault, const std::string& aAddress)
{
  ++faults_[static_cast<std::size_t>(aFault)];
  LogEvent(Severity::Warning,
           "client refused",
           { { "reason", ToString(aFault) },
             { "address", aAddress },
             { "held_bytes", memory_->UsedBytes() } });
}

std::map<std::string, std::uint64_t>
ClientLimits::Faults() const
{
  std::map<std::string, std::uint64_t> faults;
  for (std::size_t i = 0; i < kClientFaultCount; ++i) {
    faults[ToString(static_cast<ClientFault>(i))] = faults_[i];
  }
  return faults;
}

auto
ClientLimits::AddReader(std::function<void()> aStop, TimePoint aNow)
  -> Readers::iterator
{
  std::scoped_lock lock(mutex_);
  return readers_.insert(readers_.end(), { aNow, std::move(aStop) });
}

void
ClientLimits::RemoveReader(Readers::iterator aReader)
{
  std::scoped_lock lock(mutex_);
  readers_.erase(aReader);
}

void
ClientLimits::MoveReader(Readers::iterator aReader, TimePoint aNow)
{
  std::scoped_lock lock(mutex_);
  aReader->movedAt_ = aNow;
  readers_.splice(readers_.end(), readers_, aReader);
}

bool
ClientLimits::StopOldestStalled(TimePoint aNow)
{
  std::scoped_lock lock(mutex_);
  if (readers_.empty() || aNow < readers_.front().movedAt_ + kStallTime) {
    return false;
  }
  // It stays in the list until its connection has stopped reading, and isn't
  // stopped twice.
  Reader& oldest = readers_.front();
  oldest.movedAt_ = aNow;
  oldest.stop_();
  readers_.splice(readers_.end(), readers_, readers_.begin());
  return true;
}

} // namespace tanagerstall
