#ifndef TANAGERSTALL_ADMISSION_SIMULATION_HPP_INCLUDED
#define TANAGERSTALL_ADMISSION_SIMULATION_HPP_INCLUDED

#include "tanagerstall_event_queue.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace tanagerstall {

using namespace std::chrono_literals;

/// A kind of request of the simulated service; its rank is its index.
struct SimulatedKind
{
  double share_;
  std::uint32_t sharedTokens_;
  std::uint32_t ownTokens_;
  std::uint32_t outputTokens_;
  Duration target_;
  Duration timeout_;
  double value_;
};

constexpr std::size_t kKinds = 3;
constexpr std::array<SimulatedKind, kKinds> kSimulatedKinds{ {
  { 0.40, 6300, 2900, 52, 1000ms, 6s, 4.0 },
  { 0.46, 0, 1800, 24, 1500ms, 4s, 1.0 },
  { 0.14, 0, 540, 280, 2000ms, 15s, 1.0 },
} };
/// The part of the requests whose shared tokens the engine doesn't have cached.
constexpr double kCacheMisses = 0.3;

struct SimulatedRequest
{
  std::size_t kind_ = 0;
  std::size_t entry_ = 0;
  std::uint32_t organisation_ = 0;
  std::uint64_t session_ = 0;
  /// As the caller declares it, including the shared tokens.
  std::uint32_t promptTokens_ = 0;
  std::uint32_t tokensToRead_ = 0;
  std::uint32_t outputTokens_ = 0;
  TimePoint arrivedAt_;
  TimePoint sentAt_;
  TimePoint deadline_;
  bool isRetry_ = false;
  int attempts_ = 0;

  // State at the replica.
  std::uint32_t unread_ = 0;
  std::uint32_t toWrite_ = 0;
  std::optional<TimePoint> firstPartAt_;
  bool isSent_ = false;
  bool hasEnded_ = false;
};

using RequestPointer = std::shared_ptr<SimulatedRequest>;

/// A model engine that works in steps: each reads a chunk of the oldest unread
/// prompt in a slot and writes one token of each response.
class SimulatedReplica
{
public:
  struct Hooks
  {
    std::function<void(const RequestPointer&)> onFirstPart_;
    std::function<void(const RequestPointer&)> onEnd_;
    std::function<void(const RequestPointer&)> onExpired_;
  };

  static constexpr std::size_t kSlots = 16;
  static constexpr std::size_t kQueue = 33;

  SimulatedReplica(EventQueue& aEvents, const Hooks& aHooks)
    : events_(aEvents)
    , hooks_(aHooks)
  {
  }

  bool Take(const RequestPointer& aRequest)
  {
    if (slots_.size() < kSlots) {
      slots_.push_back(aRequest);
    } else if (queued_ < kQueue) {
      queues_[aRequest->kind_].push_back(aRequest);
      ++queued_;
    } else {
      return false;
    }
    aRequest->unread_ = aRequest->tokensToRead_;
    aRequest->toWrite_ = aRequest->outputTokens_;
    Start();
    return true;
  }

  /// Loses all requests, which are returned.
  std::vector<RequestPointer> Crash()
  {
    isGone_ = true;
    std::vector<RequestPointer> lost(slots_.begin(), slots_.end());
    for (auto& queue : queues_) {
      lost.insert(lost.end(), queue.begin(), queue.end());
      queue.clear();
    }
    slots_.clear();
    queued_ = 0;
    return lost;
  }
  void Restart() { isGone_ = false; }
  bool IsGone() const { return isGone_; }
  std::size_t Running() const { return slots_.size(); }
  std::size_t Queued() const { return queued_; }

private:
  static constexpr std::uint32_t kChunk = 512;
  static constexpr double kTokensPerMs = 39.0;
  static constexpr double kStepMs = 7.0;

  void Start()
  {
    if (isBusy_ || isGone_ || slots_.empty()) {
      return;
    }
    isBusy_ = true;
    reading_ = nullptr;
    bool isWriting = false;
    for (const auto& request : slots_) {
      if (request->unread_ > 0 && !reading_) {
        reading_ = request;
      }
      isWriting = isWriting || request->unread_ == 0;
    }
    chunk_ = reading_ ? std::min(kChunk, reading_->unread_) : 0;
    double ms = chunk_ / kTokensPerMs + (isWriting ? kStepMs : 0.0);
    auto time = std::chrono::duration<double, std::milli>(ms);
    events_.At(events_.Now() + std::chrono::duration_cast<Duration>(time),
               [this] { EndStep(); });
  }

  void EndStep()
  {
    isBusy_ = false;
    if (isGone_) {
      return;
    }
    TimePoint now = events_.Now();
    std::vector<RequestPointer> kept;
    std::vector<RequestPointer> done;
    for (const auto& request : slots_) {
      if (now >= request->deadline_) {
        hooks_.onExpired_(request);
        continue;
      }
      bool isWriting = request->unread_ == 0;
      if (request == reading_) {
        request->unread_ -= chunk_;
        isWriting = request->unread_ == 0;
      }
      if (isWriting && request->toWrite_-- == request->outputTokens_) {
        request->firstPartAt_ = now;
        hooks_.onFirstPart_(request);
      }
      (request->unread_ == 0 && request->toWrite_ == 0 ? done : kept)
        .push_back(request);
    }
    slots_ = std::move(kept);
    for (const auto& request : done) {
      hooks_.onEnd_(request);
    }
    Refill(now);
    Start();
  }

  void Refill(TimePoint aNow)
  {
    for (auto& queue : queues_) {
      std::erase_if(queue, [&](const RequestPointer& aIt) {
        if (aNow < aIt->deadline_) {
          return false;
        }
        --queued_;
        hooks_.onExpired_(aIt);
        return true;
      });
      while (slots_.size() < kSlots && !queue.empty()) {
        slots_.push_back(queue.front());
        queue.pop_front();
        --queued_;
      }
    }
  }

  EventQueue& events_;
  const Hooks& hooks_;
  bool isGone_ = false;
  bool isBusy_ = false;
  std::vector<RequestPointer> slots_;
  std::array<std::deque<RequestPointer>, kKinds> queues_;
  std::size_t queued_ = 0;
  RequestPointer reading_;
  std::uint32_t chunk_ = 0;
};

/// What callers of one kind got.
struct KindResult
{
  std::uint64_t arrivals_ = 0;
  std::uint64_t inTime_ = 0;
  std::uint64_t late_ = 0;
  std::uint64_t expired_ = 0;
  std::uint64_t refused_ = 0;
  /// Of those that arrived during the overload of the pattern.
  std::uint64_t overloadArrivals_ = 0;
  std::uint64_t overloadInTime_ = 0;
  std::uint64_t largeArrivals_ = 0;
  std::uint64_t largeRefused_ = 0;

  double OverloadInTimeShare() const
  {
    return static_cast<double>(overloadInTime_) /
           static_cast<double>(overloadArrivals_);
  }
};

struct SimulationResult
{
  std::array<KindResult, kKinds> kinds_;
  /// Refusals by admission, of first and second calls.
  std::uint64_t admissionRefusals_ = 0;
  /// Refusals after under half of the slots had been in use and nothing had
  /// waited for as long as entries may need to know.
  std::uint64_t needlessRefusals_ = 0;
  /// The mean over the run of the standard deviation of the level over the
  /// entries, and of the level.
  double levelDeviation_ = 0.0;

  /// Earned value as a fraction of that of all requests in time.
  double Value() const
  {
    double earned = 0.0;
    double possible = 0.0;
    for (std::size_t i = 0; i < kKinds; ++i) {
      double weight = kSimulatedKinds[i].value_;
      earned += weight * (static_cast<double>(kinds_[i].inTime_) +
                          0.1 * static_cast<double>(kinds_[i].late_));
      possible += weight * static_cast<double>(kinds_[i].arrivals_);
    }
    return earned / possible;
  }
};

/// A load pattern. Times count from the begin of the run.
struct LoadPattern
{
  const char* name_;
  Duration length_;
  Duration overloadFrom_;
  Duration overloadTo_;
  /// The factor on the arrivals of a kind and organisation.
  std::function<double(Duration, std::size_t, std::uint32_t)> factor_;
  /// The part of the replicas that is gone during [2 s, 12 s).
  double goneShare_ = 0.0;
};

constexpr std::uint32_t kOrganisations = 8;

inline const std::vector<LoadPattern>&
LoadPatterns()
{
  auto during = [](Duration aTime, Duration aFrom, Duration aTo) {
    return aTime >= aFrom && aTime < aTo;
  };
  static const std::vector<LoadPattern> kPatterns{
    { "usual",
      8s,
      0s,
      8s,
      [](Duration, std::size_t, std::uint32_t) { return 1.0; } },
    { "rank 0 at 2.3",
      12s,
      2s,
      8s,
      [=](Duration aTime, std::size_t aKind, std::uint32_t) {
        return aKind == 0 && during(aTime, 2s, 8s) ? 2.3 : 1.0;
      } },
    { "organisation at 6",
      12s,
      2s,
      8s,
      [=](Duration aTime, std::size_t, std::uint32_t aOrganisation) {
        return aOrganisation == 3 && during(aTime, 2s, 8s) ? 6.0 : 1.0;
      } },
    { "third lost",
      15s,
      2s,
      12s,
      [](Duration, std::size_t, std::uint32_t) { return 1.0; },
      1.0 / 3.0 },
    { "wave",
      20s,
      0s,
      10s,
      [](Duration aTime, std::size_t, std::uint32_t) {
        return 1.0 + 0.3 * std::sin(2.0 * 3.14159265 * InSeconds(aTime) / 20.0);
      } },
  };
  return kPatterns;
}

struct SimulationSetup
{
  std::size_t entries_ = 24;
  /// Requests per second of all callers at the factor 1.
  double Rate() const
  {
    return std::max(900.0, 10.0 * static_cast<double>(entries_));
  }
  /// 140 replicas serve 900 requests per second at 0.7 of their capacity.
  std::size_t Replicas() const
  {
    return static_cast<std::size_t>(std::lround(Rate() * 140.0 / 900.0));
  }
};

/// The entries' decisions; by default all requests are sent.
struct AdmissionHooks
{
  /// Returns nullopt if the request may be sent, otherwise the time after which
  /// the caller should retry.
  std::function<std::optional<Duration>(const SimulatedRequest&)> decide_ =
    [](const SimulatedRequest&) { return std::nullopt; };
  std::function<void(const SimulatedRequest&)> onSend_ =
    [](const SimulatedRequest&) {};
  std::function<void(const SimulatedRequest&)> onFirstPart_ =
    [](const SimulatedRequest&) {};
  /// A sent request that has ended; `aIsExpired` if at its deadline.
  std::function<void(const SimulatedRequest&, bool aIsExpired)> onEnd_ =
    [](const SimulatedRequest&, bool) {};
  /// Called every 100 ms with the number of usable slots.
  std::function<void(std::size_t)> onTick_ = [](std::size_t) {};
};

/// Callers, entries and replicas of one service under a load pattern.
class AdmissionSimulation
{
public:
  AdmissionSimulation(SimulationSetup aSetup,
                      const LoadPattern& aPattern,
                      std::uint64_t aSeed)
    : setup_(aSetup)
    , pattern_(aPattern)
    , arrivals_(aSeed)
    , random_(aSeed + 1)
    , work_(aSetup.entries_, std::vector<float>(aSetup.Replicas(), 0.0F))
  {
    replicaHooks_.onFirstPart_ = [this](const RequestPointer& aIt) {
      admission_.onFirstPart_(*aIt);
    };
    replicaHooks_.onEnd_ = [this](const RequestPointer& aIt) {
      EndSent(aIt, false);
      bool isInTime = *aIt->firstPartAt_ - FirstArrival(*aIt) <=
                      kSimulatedKinds[aIt->kind_].target_;
      KindResult& kind = result_.kinds_[aIt->kind_];
      ++(isInTime ? kind.inTime_ : kind.late_);
      kind.overloadInTime_ += isInTime && IsInOverload(*aIt) ? 1 : 0;
    };
    replicaHooks_.onExpired_ = [this](const RequestPointer& aIt) {
      EndSent(aIt, true);
      ++result_.kinds_[aIt->kind_].expired_;
    };
    for (std::size_t i = 0; i < aSetup.Replicas(); ++i) {
      replicas_.push_back(
        std::make_unique<SimulatedReplica>(events_, replicaHooks_));
    }
  }

  AdmissionHooks admission_;
  EventQueue& Events() { return events_; }

  SimulationResult Run()
  {
    begin_ = events_.Now();
    ScheduleArrival();
    ScheduleTick();
    if (pattern_.goneShare_ > 0.0) {
      events_.At(begin_ + 2s, [this] { LoseReplicas(); });
      events_.At(begin_ + 12s, [this] {
        for (auto& replica : replicas_) {
          replica->Restart();
        }
      });
    }
    events_.RunUntil(begin_ + pattern_.length_ + 15s);
    return result_;
  }

  /// Slots in use and requests that wait at replicas.
  std::pair<std::size_t, std::size_t> Usage() const
  {
    std::pair<std::size_t, std::size_t> usage;
    for (const auto& replica : replicas_) {
      usage.first += replica->Running();
      usage.second += replica->Queued();
    }
    return usage;
  }

  std::size_t UsableSlots() const
  {
    return SimulatedReplica::kSlots *
           static_cast<std::size_t>(std::count_if(
             replicas_.begin(), replicas_.end(), [](const auto& aIt) {
               return !aIt->IsGone();
             }));
  }

private:
  /// Entries know of free capacity with this delay.
  static constexpr Duration kInformationAge = 500ms;

  /// Whether under half of the slots are in use and nothing waits.
  bool IsIdle() const
  {
    auto [running, queued] = Usage();
    return queued == 0 && running * 2 < UsableSlots();
  }

  /// A caller that comes back counts its latency from its first call.
  static TimePoint FirstArrival(const SimulatedRequest& aRequest)
  {
    return aRequest.deadline_ - kSimulatedKinds[aRequest.kind_].timeout_;
  }

  bool IsInOverload(const SimulatedRequest& aRequest) const
  {
    Duration at = FirstArrival(aRequest) - begin_;
    return at >= pattern_.overloadFrom_ && at < pattern_.overloadTo_;
  }

  double Factor(std::size_t aKind, std::uint32_t aOrganisation) const
  {
    return pattern_.factor_(events_.Now() - begin_, aKind, aOrganisation);
  }

  void ScheduleArrival()
  {
    // Thinning: arrivals at the largest rate, of which a part is dropped.
    constexpr double kMaxFactor = 6.0;
    double ratePerS = setup_.Rate() * kMaxFactor;
    auto wait = std::chrono::duration<double>(
      std::exponential_distribution<double>(ratePerS)(arrivals_));
    TimePoint at = events_.Now() + std::chrono::duration_cast<Duration>(wait);
    if (at >= begin_ + pattern_.length_) {
      return;
    }
    events_.At(at, [this] {
      Arrive();
      ScheduleArrival();
    });
  }

  void Arrive()
  {
    std::uniform_real_distribution<double> part(0.0, 1.0);
    double drawn = part(arrivals_);
    std::size_t kind = drawn < 0.40 ? 0 : drawn < 0.86 ? 1 : 2;
    auto organisation =
      static_cast<std::uint32_t>(arrivals_() % kOrganisations);
    if (part(arrivals_) * 6.0 > Factor(kind, organisation)) {
      return;
    }
    const SimulatedKind& is = kSimulatedKinds[kind];
    auto request = std::make_shared<SimulatedRequest>();
    request->kind_ = kind;
    request->entry_ = arrivals_() % setup_.entries_;
    request->organisation_ = organisation;
    request->session_ = arrivals_() % 2000 + 1;
    // Sizes vary by a half around the mean.
    double size = 0.5 + part(arrivals_);
    auto own = static_cast<std::uint32_t>(size * is.ownTokens_);
    request->promptTokens_ = is.sharedTokens_ + own;
    request->tokensToRead_ =
      own + (part(arrivals_) < kCacheMisses ? is.sharedTokens_ : 0);
    request->outputTokens_ =
      static_cast<std::uint32_t>((0.5 + part(arrivals_)) * is.outputTokens_);
    request->arrivedAt_ = events_.Now();
    request->deadline_ = events_.Now() + is.timeout_;
    ++result_.kinds_[kind].arrivals_;
    result_.kinds_[kind].overloadArrivals_ += IsInOverload(*request) ? 1 : 0;
    result_.kinds_[kind].largeArrivals_ += size >= 1.4 ? 1 : 0;
    Call(request);
  }

  void Call(const RequestPointer& aRequest)
  {
    auto retryAfter = admission_.decide_(*aRequest);
    if (!retryAfter) {
      admission_.onSend_(*aRequest);
      aRequest->sentAt_ = events_.Now();
      aRequest->isSent_ = true;
      Send(aRequest);
      return;
    }
    ++result_.admissionRefusals_;
    bool isIdle = idleSince_ && events_.Now() - *idleSince_ >= kInformationAge;
    result_.needlessRefusals_ += isIdle && IsIdle() ? 1 : 0;
    Refuse(aRequest, *retryAfter);
  }

  void Refuse(const RequestPointer& aRequest, Duration aRetryAfter)
  {
    Duration left = aRequest->deadline_ - events_.Now();
    if (aRequest->isRetry_ || aRetryAfter > left / 3) {
      CountRefused(*aRequest);
      return;
    }
    aRequest->isRetry_ = true;
    aRequest->attempts_ = 0;
    events_.At(events_.Now() + aRetryAfter, [this, aRequest] {
      aRequest->entry_ = random_() % setup_.entries_;
      Call(aRequest);
    });
  }

  void CountRefused(const SimulatedRequest& aRequest)
  {
    const SimulatedKind& is = kSimulatedKinds[aRequest.kind_];
    KindResult& kind = result_.kinds_[aRequest.kind_];
    ++kind.refused_;
    bool isLarge =
      aRequest.promptTokens_ - is.sharedTokens_ >= 1.4 * is.ownTokens_;
    kind.largeRefused_ += isLarge ? 1 : 0;
  }

  float CostOf(const SimulatedRequest& aRequest) const
  {
    return static_cast<float>(aRequest.promptTokens_) +
           10.0F * static_cast<float>(aRequest.outputTokens_);
  }

  /// Tries up to three replicas, each the one with the least work of this entry
  /// among some that are drawn.
  void Send(const RequestPointer& aRequest)
  {
    while (aRequest->attempts_ < 3) {
      ++aRequest->attempts_;
      std::size_t best = Pick(aRequest->entry_);
      if (replicas_[best]->Take(aRequest)) {
        work_[aRequest->entry_][best] += CostOf(*aRequest);
        sentTo_[aRequest.get()] = best;
        return;
      }
    }
    aRequest->isSent_ = false;
    admission_.onEnd_(*aRequest, false);
    Refuse(aRequest, 500ms);
  }

  std::size_t Pick(std::size_t aEntry)
  {
    constexpr int kDrawn = 6;
    std::size_t best = 0;
    bool hasBest = false;
    for (int i = 0; i < kDrawn || !hasBest; ++i) {
      std::size_t drawn = random_() % replicas_.size();
      if (replicas_[drawn]->IsGone()) {
        continue;
      }
      if (!hasBest || work_[aEntry][drawn] < work_[aEntry][best]) {
        best = drawn;
        hasBest = true;
      }
    }
    return best;
  }

  void EndSent(const RequestPointer& aRequest, bool aIsExpired)
  {
    auto sent = sentTo_.extract(aRequest.get());
    work_[aRequest->entry_][sent.mapped()] -= CostOf(*aRequest);
    admission_.onEnd_(*aRequest, aIsExpired);
  }

  void LoseReplicas()
  {
    auto lost = static_cast<std::size_t>(static_cast<double>(replicas_.size()) *
                                         pattern_.goneShare_);
    std::vector<RequestPointer> requests;
    for (std::size_t i = 0; i < lost; ++i) {
      auto more = replicas_[i]->Crash();
      requests.insert(requests.end(), more.begin(), more.end());
    }
    for (const auto& request : requests) {
      EndSent(request, false);
      admission_.onSend_(*request);
      request->firstPartAt_.reset();
      request->sentAt_ = events_.Now();
      Send(request);
    }
  }

  void ScheduleTick()
  {
    events_.At(events_.Now() + 100ms, [this] {
      admission_.onTick_(UsableSlots());
      if (!IsIdle()) {
        idleSince_.reset();
      } else if (!idleSince_) {
        idleSince_ = events_.Now();
      }
      if (events_.Now() < begin_ + pattern_.length_) {
        ScheduleTick();
      }
    });
  }

  SimulationSetup setup_;
  const LoadPattern& pattern_;
  /// Draws the requests, which are the same whatever becomes of them.
  std::mt19937_64 arrivals_;
  std::mt19937_64 random_;
  EventQueue events_;
  TimePoint begin_;
  std::optional<TimePoint> idleSince_;
  SimulatedReplica::Hooks replicaHooks_;
  std::vector<std::unique_ptr<SimulatedReplica>> replicas_;
  /// The work that each entry runs at each replica.
  std::vector<std::vector<float>> work_;
  std::map<const SimulatedRequest*, std::size_t> sentTo_;
  SimulationResult result_;
};

} // namespace tanagerstall

#endif
