#include "tanagerstall/process/experiment/tanagerstall_history_callers.hpp"

#include "tanagerstall/connection/tanagerstall_http_client.hpp"
#include "tanagerstall/connection/tanagerstall_traffic_threads.hpp"

#include <boost/json.hpp>
#include <future>
#include <random>

namespace tanagerstall {

namespace json = boost::json;

namespace {

constexpr Duration kShortPatience = std::chrono::milliseconds(300);
constexpr Duration kLongPatience = std::chrono::seconds(5);
constexpr Duration kPauseBetweenTries = std::chrono::milliseconds(300);
constexpr unsigned kMaxTries = 100;
/// An outcome that stays unknown is left to the operators.
constexpr unsigned kMaxUnknown = 3;
/// Of 10 requests: sent to two entries at once; sent without waiting; cut off
/// by an impatient caller.
constexpr unsigned kDoubled = 2;
constexpr unsigned kAlone = 2;
constexpr unsigned kImpatient = 2;

HeardOutcome
OutcomeOf(const HttpResponse& aResponse)
{
  std::string_view text = aResponse.Header("Tanagerstall-Outcome");
  if (text == "answered") {
    return HeardOutcome::Answered;
  }
  if (text == "not_run") {
    return HeardOutcome::NotRun;
  }
  return text == "accepted" ? HeardOutcome::Accepted : HeardOutcome::Unknown;
}

/// All state is of the one traffic thread.
class Callers
{
public:
  explicit Callers(const HistorySettings& aSettings)
    : settings_(aSettings)
    , random_(aSettings.seed_)
    , running_(aSettings.callers_)
    , threads_(1)
  {
  }

  CallerHistory Run()
  {
    for (unsigned i = 0; i < settings_.callers_; ++i) {
      threads_.Spawn([this, i](Fiber& aFiber) { RunCaller(aFiber, i); });
    }
    done_.get_future().wait();
    threads_.Stop();
    return history_;
  }

private:
  void RunCaller(Fiber& aFiber, unsigned aCaller)
  {
    for (unsigned i = 0; i < settings_.requestsPerCaller_; ++i) {
      RunRequest(aFiber,
                 "h" + std::to_string(settings_.seed_) + "-" +
                   std::to_string(aCaller) + "-" + std::to_string(i));
    }
    End(aFiber);
  }

  /// The last fiber to end counts the runs.
  void End(Fiber& aFiber)
  {
    if (--running_ == 0) {
      CountExecutions(aFiber);
      done_.set_value();
    }
  }

  void RunRequest(Fiber& aFiber, const std::string& aKey)
  {
    auto kind = random_() % 10;
    if (kind < kDoubled) {
      ++running_;
      aFiber.Spawn([this, aKey](Fiber& aOther) {
        Send(aOther, aKey, kLongPatience, false);
        End(aOther);
      });
    }
    bool isAlone = kind >= kDoubled && kind < kDoubled + kAlone;
    bool isImpatient = kind >= 10 - kImpatient;
    Duration patience = isImpatient ? kShortPatience : kLongPatience;
    unsigned unknown = 0;
    for (unsigned i = 0; i < kMaxTries; ++i) {
      auto outcome = Send(aFiber, aKey, patience, isAlone);
      if (outcome == HeardOutcome::Answered) {
        return;
      }
      if (outcome == HeardOutcome::Unknown && ++unknown == kMaxUnknown) {
        return;
      }
      patience = kLongPatience;
      aFiber.Sleep(kPauseBetweenTries);
    }
  }

  HeardOutcome Send(Fiber& aFiber,
                    const std::string& aKey,
                    Duration aPatience,
                    bool aIsAlone)
  {
    json::object body{ { "order", aKey } };
    HttpRequest request{ "POST",
                         settings_.target_,
                         { { "Authorization", "Bearer " + settings_.token_ },
                           { "Content-Type", "application/json" },
                           { "Idempotency-Key", aKey } },
                         json::serialize(body) };
    if (aIsAlone) {
      request.headers_.push_back({ "Prefer", "respond-async" });
    }
    Sending sending{ aKey, HeardOutcome::Nothing, "", request.body_ };
    const Address& entry =
      settings_.entries_[random_() % settings_.entries_.size()];
    auto response = FetchHttp(aFiber, entry, std::move(request), aPatience);
    if (response) {
      sending.outcome_ = OutcomeOf(*response);
      sending.answer_ = response->body_;
    }
    history_.sendings_.push_back(sending);
    return sending.outcome_;
  }

  void CountExecutions(Fiber& aFiber)
  {
    std::string prefix = settings_.organisation_ + "/";
    for (const auto& standin : settings_.standins_) {
      auto response = FetchHttp(
        aFiber, standin, { "GET", "/executions", {}, "" }, kLongPatience);
      if (!response) {
        continue;
      }
      json::value counts = json::parse(response->body_);
      for (const auto& [key, count] : counts.at("keys").as_object()) {
        std::string name(key);
        if (name.starts_with(prefix)) {
          history_.executions_[name.substr(prefix.size())] +=
            count.to_number<unsigned>();
        }
      }
    }
  }

  const HistorySettings& settings_;
  std::mt19937_64 random_;
  unsigned running_;
  CallerHistory history_;
  std::promise<void> done_;
  TrafficThreads threads_;
};

} // namespace

CallerHistory
RunHistoryCallers(const HistorySettings& aSettings)
{
  return Callers(aSettings).Run();
}

} // namespace tanagerstall
