#ifndef TANAGERSTALL_MEMORY_BUDGET_HPP_INCLUDED
#define TANAGERSTALL_MEMORY_BUDGET_HPP_INCLUDED

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace tanagerstall {

/// Bounds the bytes that a process holds for requests: message heads, bodies
/// and buffered responses, and the part that one client address, organisation
/// or upstream may hold. Thread-safe.
class MemoryBudget
{
public:
  enum class Holder
  {
    Address,
    Organisation,
    Upstream
  };

  struct Limits
  {
    std::size_t maxBytes_ = 0;
    /// What one holder may have, by kind.
    std::array<std::size_t, 3> maxBytesOf_{};
  };

  /// A holder up to this size is never refused for its part, and may use what
  /// is reserved.
  static constexpr std::size_t kSmallBytes = 64UL << 10U;

  /// Divides a number of bytes into the parts of holders.
  static Limits DivideBytes(std::size_t aMaxBytes);

  explicit MemoryBudget(Limits aLimits);

  /// Bytes of one holder, in addition to its others. Moving leaves an empty
  /// part. Counts against the holder only.
  class Part
  {
  public:
    Part() = default;
    Part(std::shared_ptr<MemoryBudget> aBudget,
         Holder aHolder,
         std::string aName);
    ~Part();
    Part(Part&& aOther) noexcept;
    Part& operator=(Part&& aOther) noexcept;

    /// Sets its size; false, with no effect, if the holder would have too much.
    bool Resize(std::size_t aBytes);

  private:
    std::shared_ptr<MemoryBudget> budget_;
    Holder holder_ = Holder::Address;
    std::string name_;
    std::size_t bytes_ = 0;
  };

  /// What a charge is for.
  enum class Use
  {
    /// Leaves the reserve free, unless the charge is small.
    Request,
    /// May use the reserve: the request has been forwarded.
    Response
  };

  /// Bytes of the budget, given back on destruction.
  class Charge
  {
  public:
    Charge() = default;
    Charge(std::shared_ptr<MemoryBudget> aBudget, Use aUse);
    ~Charge();
    Charge(Charge&& aOther) noexcept;
    Charge& operator=(Charge&& aOther) noexcept;

    /// Sets its size; false, with no effect, if it doesn't fit.
    bool Resize(std::size_t aBytes);
    std::size_t Bytes() const { return bytes_; }

  private:
    std::shared_ptr<MemoryBudget> budget_;
    Use use_ = Use::Request;
    std::size_t bytes_ = 0;
  };

  std::size_t UsedBytes() const;
  std::size_t MaxBytes() const { return limits_.maxBytes_; }

private:
  bool Change(std::size_t aFrom, std::size_t aTo, Use aUse);
  bool ChangePart(Holder aHolder,
                  const std::string& aName,
                  std::size_t aFrom,
                  std::size_t aTo);

  Limits limits_;
  mutable std::mutex mutex_;
  std::size_t used_ = 0;
  std::array<std::map<std::string, std::size_t>, 3> heldBy_;
};

} // namespace tanagerstall

#endif
