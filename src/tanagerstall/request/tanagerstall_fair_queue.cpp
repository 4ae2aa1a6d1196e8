#include "tanagerstall/request/tanagerstall_fair_queue.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace tanagerstall {

bool
FairQueue::FlowKey::operator<(const FlowKey& aOther) const
{
  return std::tie(service_, organisation_, isShort_) <
         std::tie(aOther.service_, aOther.organisation_, aOther.isShort_);
}

double
FairQueue::StartTag(const Flow& aFlow) const
{
  return std::max(virtualTime_, aFlow.finishTag_);
}

void
FairQueue::Push(const FlowKey& aFlow,
                double aWeight,
                Item aItem,
                bool aIsAtFront)
{
  Flow& flow = flows_[aFlow];
  flow.weight_ = aWeight;
  if (flow.items_.empty()) {
    flow.finishTag_ = StartTag(flow);
  }
  if (aIsAtFront) {
    flow.items_.push_front(aItem);
  } else {
    flow.items_.push_back(aItem);
  }
  ++size_;
}

std::optional<FairQueue::Item>
FairQueue::Pop(
  const std::function<bool(const FlowKey&, const Item&)>& aCanServe)
{
  std::erase_if(flows_, [&](const auto& aPair) {
    return aPair.second.items_.empty() &&
           aPair.second.finishTag_ <= virtualTime_;
  });
  std::vector<std::map<FlowKey, Flow>::iterator> order;
  for (auto it = flows_.begin(); it != flows_.end(); ++it) {
    if (!it->second.items_.empty()) {
      order.push_back(it);
    }
  }
  std::stable_sort(
    order.begin(), order.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft->second.finishTag_ < aRight->second.finishTag_;
    });
  for (auto it : order) {
    Flow& flow = it->second;
    Item item = flow.items_.front();
    if (!aCanServe(it->first, item)) {
      continue;
    }
    flow.items_.pop_front();
    --size_;
    double start = flow.finishTag_;
    virtualTime_ = std::max(virtualTime_, start);
    flow.finishTag_ = start + item.cost_ / flow.weight_;
    return item;
  }
  return std::nullopt;
}

bool
FairQueue::HasWaiting(const FlowKey& aFlow) const
{
  auto it = flows_.find(aFlow);
  return it != flows_.end() && !it->second.items_.empty();
}

bool
FairQueue::Remove(const FlowKey& aFlow, std::uint64_t aTicket)
{
  auto it = flows_.find(aFlow);
  if (it == flows_.end()) {
    return false;
  }
  auto removed = std::erase_if(it->second.items_, [&](const Item& aItem) {
    return aItem.ticket_ == aTicket;
  });
  size_ -= removed;
  return removed > 0;
}

} // namespace tanagerstall
