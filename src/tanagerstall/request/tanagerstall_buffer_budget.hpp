#ifndef TANAGERSTALL_BUFFER_BUDGET_HPP_INCLUDED
#define TANAGERSTALL_BUFFER_BUDGET_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_memory_budget.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace tanagerstall {

/// Bounds the memory that all responses in progress buffer together, so that
/// upstreams whose responses never end can't exhaust a process, and what those
/// of one upstream buffer, so that it can't use up what the others need. Not
/// thread-safe.
class BufferBudget
{
  /// What the responses of one upstream that are in progress have taken.
  struct Taken
  {
    std::size_t responses_ = 0;
    std::size_t bytes_ = 0;
  };

public:
  struct Limits
  {
    std::size_t maxBytes_ = 0;
    std::size_t maxBytesOfUpstream_ = 0;
  };

  /// What is taken counts against `aMemory` as well, if there is one.
  explicit BufferBudget(Limits aLimits,
                        std::shared_ptr<MemoryBudget> aMemory = nullptr);

  /// What one response has taken from the budget; given back on destruction.
  class Share
  {
  public:
    Share(BufferBudget& aBudget, const std::string& aUpstream);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Takes more bytes; false if the budget, or the upstream's part of it, has
    /// fewer left.
    bool Take(std::size_t aBytes);

  private:
    BufferBudget& budget_;
    std::map<std::string, Taken>::iterator upstream_;
    std::size_t bytes_ = 0;
    MemoryBudget::Charge charge_;
  };

  std::size_t FreeBytes() const { return free_; }

private:
  Limits limits_;
  std::shared_ptr<MemoryBudget> memory_;
  std::size_t free_;
  std::map<std::string, Taken> takenBy_;
};

} // namespace tanagerstall

#endif
