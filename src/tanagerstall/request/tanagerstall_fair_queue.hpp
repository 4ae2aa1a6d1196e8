#ifndef TANAGERSTALL_FAIR_QUEUE_HPP_INCLUDED
#define TANAGERSTALL_FAIR_QUEUE_HPP_INCLUDED

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace tanagerstall {

/// Start-time fair queueing: backlogged flows are served in proportion to their
/// weights, whatever their items cost, and every flow waits a bounded time.
class FairQueue
{
public:
  struct FlowKey
  {
    std::string service_;
    std::string organisation_;
    bool isShort_ = true;

    bool operator<(const FlowKey& aOther) const;
  };

  struct Item
  {
    std::uint64_t ticket_ = 0;
    /// The cost of serving the item, in tokens.
    double cost_ = 1;
  };

  /// Appends an item to a flow, or prepends it if `aIsAtFront`.
  void Push(const FlowKey& aFlow, double aWeight, Item aItem, bool aIsAtFront);
  /// Removes and returns the first item of the next flow in order whose first
  /// item `aCanServe` accepts, if any. It is called at most once per flow.
  std::optional<Item> Pop(
    const std::function<bool(const FlowKey&, const Item&)>& aCanServe);
  /// Removes a waiting item; false if there is no such item.
  bool Remove(const FlowKey& aFlow, std::uint64_t aTicket);
  bool HasWaiting(const FlowKey& aFlow) const;
  std::size_t Size() const { return size_; }

private:
  struct Flow
  {
    std::deque<Item> items_;
    double weight_ = 1;
    /// Virtual time at which the last served item finishes.
    double finishTag_ = 0;
  };

  double StartTag(const Flow& aFlow) const;

  std::map<FlowKey, Flow> flows_;
  double virtualTime_ = 0;
  std::size_t size_ = 0;
};

} // namespace tanagerstall

#endif
