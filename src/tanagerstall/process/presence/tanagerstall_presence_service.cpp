#include "tanagerstall/process/presence/tanagerstall_presence_service.hpp"

#include "tanagerstall/connection/tanagerstall_peer_link.hpp"
#include "tanagerstall/process/presence/tanagerstall_peer_schedule.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"

#include <kj/async-io.h>
#include <map>
#include <set>

namespace tanagerstall {

struct PresenceService::State : private kj::TaskSet::ErrorHandler
{
  State(ControlLoop& aLoop,
        Clock aClock,
        EntryRun aSelf,
        Metrics& aMetrics,
        std::function<void()> aOnChange)
    : timer_(aLoop.Io().provider->getTimer())
    , clock_(std::move(aClock))
    , metrics_(aMetrics)
    , onChange_(std::move(aOnChange))
    , table_(std::move(aSelf), clock_.Now())
    , exchange_(table_)
    , link_(aLoop, MakeHooks())
    , tasks_(*this)
  {
  }

  PeerLink::Hooks MakeHooks()
  {
    return { [this](const PresencePull& aPull) {
              return exchange_.Answer(aPull, clock_.Now());
            },
             [this](std::size_t aBytes) {
               metrics_.Count(Counter::PeerBytesSent, aBytes);
             },
             [this](std::size_t aBytes) {
               metrics_.Count(Counter::PeerBytesReceived, aBytes);
             } };
  }

  void taskFailed(kj::Exception&& aError) override
  {
    LogEvent(Severity::Error,
             "presence round failed",
             { { "error", aError.getDescription().cStr() } });
    tasks_.add(RunRounds());
  }

  kj::Promise<void> RunRounds()
  {
    return timer_.afterDelay(kPullIntervalMs * kj::MILLISECONDS).then([this] {
      table_.Tick(clock_.Now());
      if (const auto* peer = PeerOfRound(peers_, round_++)) {
        Pull(*peer);
      }
      onChange_();
      return RunRounds();
    });
  }

  void Pull(const std::string& aPeer)
  {
    auto address = addresses_.find(aPeer);
    if (address == addresses_.end() || !inFlight_.insert(aPeer).second) {
      return;
    }
    auto pull = exchange_.Pull(aPeer, clock_.Now());
    link_.Pull(address->second,
               pull,
               [this, aPeer, pull](
                 const tl::expected<PresenceReply, PeerError>& aReply) {
                 inFlight_.erase(aPeer);
                 if (aReply) {
                   ApplyReply(aPeer, pull, *aReply);
                 } else {
                   ReportFailedPull(aPeer, aReply.error());
                 }
               });
  }

  void ApplyReply(const std::string& aPeer,
                  const PresencePull& aPull,
                  const PresenceReply& aReply)
  {
    unresponsive_.erase(aPeer);
    auto before = table_.LastChange();
    auto result = exchange_.Apply(aPeer, aPull, aReply, clock_.Now());
    if (result == PullResult::Again) {
      Pull(aPeer);
    }
    if (table_.LastChange() != before) {
      onChange_();
    }
  }

  /// Logs only the first of a series of failed pulls from the same peer.
  void ReportFailedPull(const std::string& aPeer, const PeerError& aError)
  {
    metrics_.Count(Counter::PeerPullsFailed);
    if (unresponsive_.insert(aPeer).second) {
      LogEvent(Severity::Warning,
               "peer silent",
               { { "peer", aPeer }, { "error", aError.message_ } });
    }
  }

  void SetEntries(const std::vector<EntryInfo>& aEntries)
  {
    std::vector<std::string> ids;
    std::map<std::string, Address> addresses;
    for (const auto& entry : aEntries) {
      auto address = ParseAddress(entry.peerAddress_);
      if (address && entry.id_ != table_.Self().id_) {
        ids.push_back(entry.id_);
        addresses[entry.id_] = *address;
      }
    }
    if (addresses == addresses_) {
      return;
    }
    addresses_ = std::move(addresses);
    peers_ = PeersOf(table_.Self().id_, std::move(ids));
    exchange_.KeepPeers(peers_);
    std::vector<Address> kept;
    for (const auto& peer : peers_) {
      kept.push_back(addresses_.at(peer));
    }
    link_.KeepConnections(kept);
  }

  kj::Timer& timer_;
  Clock clock_;
  Metrics& metrics_;
  std::function<void()> onChange_;
  PresenceTable table_;
  PresenceExchange exchange_;
  std::map<std::string, Address> addresses_;
  std::vector<std::string> peers_;
  std::set<std::string> inFlight_;
  std::set<std::string> unresponsive_;
  std::uint64_t round_ = 0;
  PeerLink link_;
  kj::TaskSet tasks_;
};

PresenceService::PresenceService(ControlLoop& aLoop,
                                 Clock aClock,
                                 EntryRun aSelf,
                                 Metrics& aMetrics,
                                 std::function<void()> aOnChange)
  : state_(std::make_unique<State>(aLoop,
                                   std::move(aClock),
                                   std::move(aSelf),
                                   aMetrics,
                                   std::move(aOnChange)))
{
}

PresenceService::~PresenceService() = default;

Address
PresenceService::Listen(const Address& aAddress)
{
  return state_->link_.Listen(aAddress);
}

void
PresenceService::Start()
{
  state_->tasks_.add(state_->RunRounds());
}

void
PresenceService::Announce(const UpstreamInfo& aUpstream)
{
  auto before = state_->table_.LastChange();
  auto result = state_->table_.Observe(aUpstream, state_->clock_.Now());
  state_->metrics_.Count(result == AnnouncementResult::Accepted
                           ? Counter::AnnouncementsTaken
                           : Counter::AnnouncementsStale);
  if (state_->table_.LastChange() != before) {
    LogEvent(Severity::Info,
             "upstream announced",
             { { "upstream", aUpstream.id_ },
               { "incarnation", aUpstream.incarnation_ },
               { "leaving", aUpstream.isLeaving_ } });
    state_->onChange_();
  }
}

void
PresenceService::SetEntries(const std::vector<EntryInfo>& aEntries)
{
  state_->SetEntries(aEntries);
}

const PresenceTable&
PresenceService::Table() const
{
  return state_->table_;
}

} // namespace tanagerstall
