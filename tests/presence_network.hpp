#ifndef TANAGERSTALL_PRESENCE_NETWORK_HPP_INCLUDED
#define TANAGERSTALL_PRESENCE_NETWORK_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_peer_schedule.hpp"
#include "tanagerstall/process/presence/tanagerstall_presence_exchange.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace tanagerstall::tests {

/// How the network delivers one message.
struct Delivery
{
  bool isLost_ = false;
  bool isDuplicated_ = false;
  Duration delay_ = std::chrono::milliseconds(1);
};

/// Simulates entries that exchange presence over an in-memory network. Each
/// entry has its own clock.
class PresenceNetwork
{
public:
  struct Hooks
  {
    /// Decides how a message is delivered; gets the indices of its sender and
    /// receiver.
    std::function<Delivery(std::size_t, std::size_t)> deliveryOf_;
    /// Called for every pull and reply that is sent.
    std::function<void(const PresencePull&)> onPull_;
    std::function<void(const PresenceReply&)> onReply_;
    /// Alters the sender's copy of a pull before its reply is applied, to
    /// simulate a faulty implementation.
    std::function<void(PresencePull&, TimePoint)> alterPull_;
  };

  struct Node
  {
    std::string id_;
    std::uint64_t incarnation_ = 1;
    Duration clockOffset_{};
    std::unique_ptr<PresenceTable> table_;
    std::unique_ptr<PresenceExchange> exchange_;
    std::vector<std::string> peers_;
    std::map<std::string, TimePoint> inFlight_;
    std::uint64_t round_ = 0;
    TimePoint frozenUntil_{};
  };

  explicit PresenceNetwork(std::size_t aCount, Hooks aHooks = {})
    : hooks_(std::move(aHooks))
  {
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < aCount; ++i) {
      ids.push_back("entry-" + std::to_string(i));
      index_[ids.back()] = i;
    }
    nodes_.resize(aCount);
    for (std::size_t i = 0; i < aCount; ++i) {
      nodes_[i].id_ = ids[i];
      nodes_[i].peers_ = PeersOf(ids[i], ids);
      nodes_[i].clockOffset_ = std::chrono::hours(i % 7);
      Start(i);
      auto phase = std::chrono::milliseconds(random_() % kPullIntervalMs);
      At(now_ + phase, [this, i] { Round(i); });
    }
  }

  /// Starts or restarts an entry with an empty table and a new incarnation.
  void Start(std::size_t aNode)
  {
    Node& node = nodes_[aNode];
    node.table_ = std::make_unique<PresenceTable>(
      EntryRun{ node.id_, ++node.incarnation_ }, Local(aNode));
    node.exchange_ = std::make_unique<PresenceExchange>(*node.table_);
    node.inFlight_.clear();
  }

  /// Freezes an entry. Messages to it are delivered when it resumes.
  void Freeze(std::size_t aNode, Duration aFor)
  {
    nodes_[aNode].frozenUntil_ = now_ + aFor;
  }

  void RunFor(Duration aTime)
  {
    TimePoint end = now_ + aTime;
    while (!events_.empty() && events_.begin()->first <= end) {
      auto event = events_.begin();
      now_ = event->first;
      auto run = std::move(event->second);
      events_.erase(event);
      run();
    }
    now_ = end;
  }

  void At(TimePoint aTime, std::function<void()> aRun)
  {
    events_.emplace(aTime, std::move(aRun));
  }

  AnnouncementResult Announce(std::size_t aNode, const UpstreamInfo& aInfo)
  {
    return nodes_[aNode].table_->Observe(aInfo, Local(aNode));
  }

  bool IsPresentAt(std::size_t aNode, const std::string& aUpstream) const
  {
    return nodes_[aNode].table_->IsPresent(aUpstream, Local(aNode));
  }

  TimePoint Now() const { return now_; }
  TimePoint Local(std::size_t aNode) const
  {
    return now_ + nodes_[aNode].clockOffset_;
  }
  std::vector<Node>& Nodes() { return nodes_; }
  std::mt19937& Random() { return random_; }

private:
  void RunWhenAwake(std::size_t aNode, const std::function<void()>& aRun)
  {
    TimePoint wake = nodes_[aNode].frozenUntil_;
    if (now_ < wake) {
      At(wake, aRun);
    } else {
      aRun();
    }
  }

  void Round(std::size_t aNode)
  {
    if (now_ < nodes_[aNode].frozenUntil_) {
      At(nodes_[aNode].frozenUntil_, [this, aNode] { Round(aNode); });
      return;
    }
    Node& node = nodes_[aNode];
    node.table_->Tick(Local(aNode));
    if (const auto* peer = PeerOfRound(node.peers_, node.round_++)) {
      Pull(aNode, *peer);
    }
    At(now_ + std::chrono::milliseconds(kPullIntervalMs),
       [this, aNode] { Round(aNode); });
  }

  void Pull(std::size_t aFrom, const std::string& aPeer)
  {
    Node& node = nodes_[aFrom];
    std::size_t to = index_.at(aPeer);
    auto [it, isNew] = node.inFlight_.try_emplace(aPeer, now_);
    if (!isNew && now_ - it->second < std::chrono::seconds(1)) {
      return;
    }
    it->second = now_;
    auto pull = node.exchange_->Pull(aPeer, Local(aFrom));
    Observe(hooks_.onPull_, pull);
    auto incarnation = node.incarnation_;
    Send(aFrom, to, [this, aFrom, aPeer, to, pull, incarnation] {
      auto reply = std::make_shared<PresenceReply>(
        nodes_[to].exchange_->Answer(pull, Local(to)));
      Observe(hooks_.onReply_, *reply);
      Send(to, aFrom, [this, aFrom, aPeer, pull, reply, incarnation] {
        if (nodes_[aFrom].incarnation_ == incarnation) {
          ApplyReply(aFrom, aPeer, pull, *reply);
        }
      });
    });
  }

  void ApplyReply(std::size_t aFrom,
                  const std::string& aPeer,
                  PresencePull aPull,
                  const PresenceReply& aReply)
  {
    Node& node = nodes_[aFrom];
    if (hooks_.alterPull_) {
      hooks_.alterPull_(aPull, Local(aFrom));
    }
    auto result = node.exchange_->Apply(aPeer, aPull, aReply, Local(aFrom));
    if (result == PullResult::Ignored) {
      return;
    }
    node.inFlight_.erase(aPeer);
    if (result == PullResult::Again) {
      Pull(aFrom, aPeer);
    }
  }

  void Send(std::size_t aFrom,
            std::size_t aTo,
            const std::function<void()>& aDeliver)
  {
    Delivery delivery =
      hooks_.deliveryOf_ ? hooks_.deliveryOf_(aFrom, aTo) : Delivery{};
    if (delivery.isLost_) {
      return;
    }
    auto deliver = [this, aTo, aDeliver] { RunWhenAwake(aTo, aDeliver); };
    At(now_ + delivery.delay_, deliver);
    if (delivery.isDuplicated_) {
      At(now_ + 3 * delivery.delay_, deliver);
    }
  }

  template<class Message>
  static void Observe(const std::function<void(const Message&)>& aHook,
                      const Message& aMessage)
  {
    if (aHook) {
      aHook(aMessage);
    }
  }

  Hooks hooks_;
  std::mt19937 random_{ 7 };
  TimePoint now_{ std::chrono::hours(100) };
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<std::string, std::size_t> index_;
  std::vector<Node> nodes_;
};

} // namespace tanagerstall::tests

#endif
