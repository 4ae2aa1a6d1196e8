#include "tanagerstall/connection/tanagerstall_fleet_client.hpp"

#include "tanagerstall/connection/tanagerstall_fleet_codec.hpp"
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
/// Covers a declaration of several megabytes over a slow link.
constexpr auto kDeclarationTimeout = 6 * kj::SECONDS;
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

  kj::Promise<void> Sync(SharedLink aLink,
                         std::string aAddress,
                         std::chrono::milliseconds aWait)
  {
    auto request = aLink->capability_.syncRequest();
    bool isToLeader = aAddress == leader_;
    EntryReport report =
      hooks_.report_(aAddress, isToLeader, aWait.count() == 0);
    report.isToLeader_ = isToLeader;
    bool lacksDeclaration = report.newestDeclaration_ > report.entry_.revision_;
    report.wait_ =
      lacksDeclaration ? std::min(aWait, kMaxDeclarationWait) : aWait;
    WriteReport(request.initRequest(), report);
    auto timeout = report.wantsDeclaration_
                     ? kDeclarationTimeout
                     : (MaxWait() + kAnswerDelay).count() * kj::MILLISECONDS;
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
  State* state = state_.get();
  if (auto it = state->links_.find(state->leader_); it != state->links_.end()) {
    state->tasks_.Add(
      state->Sync(it->second, it->first, std::chrono::milliseconds(0)));
  }
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
