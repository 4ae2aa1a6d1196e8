#include "tanagerstall/connection/tanagerstall_fleet_client.hpp"

#include "tanagerstall/connection/tanagerstall_fleet_codec.hpp"
#include "tanagerstall/connection/tanagerstall_single_flight.hpp"
#include "tanagerstall/internal/tanagerstall_logged_tasks.hpp"
#include "tanagerstall/internal/tanagerstall_rpc_connection.hpp"
#include "tanagerstall/process/tanagerstall_log.hpp"

#include <algorithm>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <map>
#include <set>

namespace tanagerstall {

namespace {

/// A few round trips between regions. Short, so that processes that start at
/// the same time don't wait long for one that isn't listening yet.
constexpr auto kConnectTimeout = 300 * kj::MILLISECONDS;
constexpr std::chrono::milliseconds kMaxAnswerWait{ 800 };
/// The same for a standby entry, which reports less often to relieve the
/// control processes. Answers still come at once after a change.
constexpr std::chrono::milliseconds kStandbyAnswerWait{ 1700 };
/// Applies while the entry knows of a newer declaration but lacks it, so that
/// it can soon request it, from whichever process has it.
constexpr std::chrono::milliseconds kMaxDeclarationWait{ 150 };
/// The time beyond the requested wait within which an answer arrives: a round
/// trip and the delay of a busy control process.
constexpr std::chrono::milliseconds kAnswerDelay{ 1000 };
/// The time within which a brief report is answered, or another one is sent.
constexpr std::chrono::milliseconds kBriefTimeout{ 500 };
/// Covers a declaration of several megabytes over a slow link.
constexpr std::chrono::milliseconds kDeclarationTimeout{ 6000 };
/// Batches changes that occur close together into one answer.
constexpr auto kSyncDelay = 60 * kj::MILLISECONDS;
constexpr auto kRetryDelay = 120 * kj::MILLISECONDS;

using Link = RpcConnection<wire::FleetPort>;

using SharedLink = std::shared_ptr<Link>;

} // namespace

struct FleetClient::State
{
  State(ControlLoop& aLoop, Hooks aHooks)
    : loop_(aLoop)
    , timer_(aLoop.Io().provider->getTimer())
    , hooks_(std::move(aHooks))
    , tasks_(Severity::Warning, "control connection failed")
  {
  }

  kj::Promise<SharedLink> Connect(const std::string& aAddress)
  {
    if (auto it = links_.find(aAddress); it != links_.end()) {
      return it->second;
    }
    auto opening = OpenRpcConnection<Link>(loop_.Io(), aAddress)
                     .then([this, aAddress](SharedLink aLink) {
                       links_[aAddress] = aLink;
                       return aLink;
                     });
    return timer_.timeoutAfter(kConnectTimeout, kj::mv(opening));
  }

  std::chrono::milliseconds TimeoutFor(const EntryReport& aReport) const
  {
    if (aReport.isBrief_) {
      return kBriefTimeout;
    }
    return aReport.wantsDeclaration_ ? kDeclarationTimeout
                                     : MaxWait() + kAnswerDelay;
  }

  kj::Promise<void> Sync(SharedLink aLink,
                         std::string aAddress,
                         std::chrono::milliseconds aWait,
                         bool aIsBrief = false)
  {
    auto request = aLink->capability_.syncRequest();
    bool isToLeader = aAddress == leader_;
    EntryReport report = hooks_.report_(aAddress, isToLeader, aIsBrief);
    report.isBrief_ = aIsBrief;
    report.isToLeader_ = isToLeader;
    bool lacksDeclaration = report.newestDeclaration_ > report.inForce_;
    report.wait_ =
      lacksDeclaration ? std::min(aWait, kMaxDeclarationWait) : aWait;
    WriteReport(request.initRequest(), report);
    auto timeout = TimeoutFor(report).count() * kj::MILLISECONDS;
    return timer_.timeoutAfter(timeout, request.send())
      .then([this, aLink, aAddress, madeAt = report.madeAt_](auto aResponse) {
        ControlAnswer answer = ReadAnswer(aResponse.getReply());
        answer.reportedAt_ = madeAt;
        OnAnswer(aAddress, answer);
      });
  }

  std::chrono::milliseconds MaxWait() const
  {
    return isStandby_ ? kStandbyAnswerWait : kMaxAnswerWait;
  }

  void OnAnswer(const std::string& aAddress, const ControlAnswer& aAnswer)
  {
    if (unreachable_.erase(aAddress) > 0) {
      LogEvent(Severity::Info, "control regained", { { "address", aAddress } });
    }
    if (aAnswer.isLeader_) {
      leader_ = aAddress;
      isStandby_ = aAnswer.isStandby_;
      members_ = { aAnswer.members_.begin(), aAnswer.members_.end() };
    }
    for (const auto& member : aAnswer.members_) {
      Follow(member);
    }
    hooks_.onAnswer_(aAddress, aAnswer);
  }

  /// Whether to keep retrying an address that doesn't answer: any address until
  /// a leader has listed the members, then members and seeds.
  bool IsWanted(const std::string& aAddress) const
  {
    return members_.empty() || members_.contains(aAddress) ||
           seeds_.contains(aAddress);
  }

  void OnFailure(const std::string& aAddress, const kj::Exception& aError)
  {
    links_.erase(aAddress);
    if (unreachable_.insert(aAddress).second) {
      LogEvent(Severity::Warning,
               "control lost",
               { { "address", aAddress },
                 { "error", aError.getDescription().cStr() } });
    }
  }

  kj::Promise<void> SyncForever(std::string aAddress)
  {
    return Connect(aAddress)
      .then([this, aAddress](SharedLink aLink) {
        return Sync(aLink, aAddress, MaxWait());
      })
      .then([this] { return timer_.afterDelay(kSyncDelay); },
            [this, aAddress](kj::Exception&& aError) {
              OnFailure(aAddress, aError);
              return timer_.afterDelay(kRetryDelay);
            })
      .then([this, aAddress]() -> kj::Promise<void> {
        if (!links_.contains(aAddress) && !IsWanted(aAddress)) {
          followed_.erase(aAddress);
          unreachable_.erase(aAddress);
          return kj::READY_NOW;
        }
        return SyncForever(aAddress);
      });
  }

  void RefreshLeader()
  {
    auto it = links_.find(leader_);
    if (it == links_.end()) {
      return;
    }
    if (!briefReports_.Start(leader_)) {
      return;
    }
    auto onEnd = [this, address = leader_] {
      if (briefReports_.Finish(address)) {
        RefreshLeader();
      }
    };
    tasks_.Add(Sync(it->second, it->first, std::chrono::milliseconds(0), true)
                 .then([onEnd] { onEnd(); },
                       [onEnd](kj::Exception&& aError) {
                         LogEvent(
                           Severity::Debug,
                           "brief report not answered",
                           { { "error", aError.getDescription().cStr() } });
                         onEnd();
                       }));
  }

  void Follow(const std::string& aAddress)
  {
    if (!aAddress.empty() && followed_.insert(aAddress).second) {
      tasks_.Add(
        kj::evalLater([this, aAddress] { return SyncForever(aAddress); }));
    }
  }

  ControlLoop& loop_;
  kj::Timer& timer_;
  Hooks hooks_;
  std::set<std::string> seeds_;
  /// The members that the leader last listed.
  std::set<std::string> members_;
  std::string leader_;
  /// Whether the leader last said that this entry stands by.
  bool isStandby_ = false;
  /// Addresses with a running SyncForever().
  std::set<std::string> followed_;
  std::set<std::string> unreachable_;
  SingleFlight briefReports_;
  std::map<std::string, SharedLink> links_;
  LoggedTasks tasks_;
};

FleetClient::FleetClient(ControlLoop& aLoop, Hooks aHooks)
  : state_(std::make_unique<State>(aLoop, std::move(aHooks)))
{
}

FleetClient::~FleetClient() = default;

void
FleetClient::SetSeeds(const std::vector<Address>& aSeeds)
{
  state_->seeds_.clear();
  for (const auto& seed : aSeeds) {
    state_->seeds_.insert(seed.ToString());
    state_->Follow(seed.ToString());
  }
}

void
FleetClient::RefreshLeader()
{
  state_->RefreshLeader();
}

void
FleetClient::Refresh()
{
  State* state = state_.get();
  for (const auto& [address, link] : state->links_) {
    state->tasks_.Add(state->Sync(link, address, std::chrono::milliseconds(0)));
  }
}

} // namespace tanagerstall
