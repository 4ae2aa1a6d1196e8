#ifndef TANAGERSTALL_FAIR_QUEUE_HPP_INCLUDED
#define TANAGERSTALL_FAIR_QUEUE_HPP_INCLUDED

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace tanagerstall {

/// Start-time fair queueing: flows share by weight, whatever they ask for, and
/// each waits a bounded time.
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
    /// What serving it takes, in tokens.
    double cost_ = 1;
  };

  /// Adds to the end of a flow; `aIsAtFront` puts it at the front.
  void Push(const FlowKey& aFlow, double aWeight, Item aItem, bool aIsAtFront);
  /// Takes the head that is next in turn among the flows that `aCanServe`
  /// accepts, if it accepts any. It sees each flow's head once.
  std::optional<Item> Pop(
    const std::function<bool(const FlowKey&, const Item&)>& aCanServe);
  /// Removes a waiting item; false when there is none.
  bool Remove(const FlowKey& aFlow, std::uint64_t aTicket);
  bool HasWaiting(const FlowKey& aFlow) const;
  std::size_t Size() const { return size_; }

private:
  struct Flow
  {
    std::deque<Item> items_;
    double weight_ = 1;
    double finishTag_ = 0;
  };

  double StartTag(const Flow& aFlow) const;

  std::map<FlowKey, Flow> flows_;
  double virtualTime_ = 0;
  std::size_t size_ = 0;
};

} // namespace tanagerstall

#endif
