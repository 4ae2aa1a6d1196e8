#ifndef TANAGERSTALL_REQUEST_SIMULATION_HPP_INCLUDED
#define TANAGERSTALL_REQUEST_SIMULATION_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_ledger.hpp"
#include "tanagerstall/request/tanagerstall_ledger_codec.hpp"
#include "tanagerstall/request/tanagerstall_request_recovery.hpp"
#include "tanagerstall_request_history.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace tanagerstall::matrix {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The steps of a request at which a fault can be injected.
enum class Step
{
  /// Before the entry proposes to record the request.
  BeforeRecord,
  /// When the entry receives the ledger's reply to recording the request.
  AfterRecord,
  /// When the entry receives the ledger's reply to the grant.
  AfterGrant,
  Sent,
  FirstByte,
  MidAnswer,
  Answered,
  /// When the entry receives the ledger's reply to recording the answer.
  AnswerRecorded
};
constexpr int kSteps = 8;

enum class Fault
{
  /// The entry that runs the request is killed.
  Killed,
  /// The entry is suspended for 0.5 to 40.5 s.
  Frozen,
  /// The connection to the upstream or the ledger is reset.
  Reset,
  /// The next reply is lost.
  ReplyLost,
  /// The next reply is delayed by 1 to 12 s.
  ReplyDelayed,
  /// Random delays of up to 4 s reorder all messages for 10 s.
  OutOfOrder,
  /// The caller loses its connection and sends the request again.
  CallerDisconnected,
  /// The same key is sent to another entry at the same time.
  ResentElsewhere,
  /// No upstream is available for 20 s; then new incarnations start.
  UpstreamsAbsent,
  /// The entry drains and is killed 2 s later.
  Reclaimed
};
constexpr int kFaults = 10;

/// A deliberate violation of the protocol, used to show that the checker
/// detects it.
enum class Defect
{
  None,
  GrantGivenTwice,
  SentWithoutGrant,
  ReleasedAfterSending,
  RefusedWithoutWithdrawal,
  WrongAnswer,
  NoRecovery
};

struct Injection
{
  Step step_;
  Fault fault_;
};

struct SimulationSettings
{
  std::vector<Injection> injections_;
  unsigned seed_ = 1;
  bool isAsync_ = false;
  bool resendsAfterRefusal_ = true;
  bool deduplicates_ = false;
  Defect defect_ = Defect::None;
};

/// Simulates three entries, two upstreams and three callers in virtual time,
/// with the real ledger behind a lossy network. The injections happen in order:
/// each one when the first key next reaches its step.
class RequestSimulation
{
public:
  explicit RequestSimulation(SimulationSettings aSettings)
    : settings_(std::move(aSettings))
    , random_(settings_.seed_)
  {
  }

  History Run()
  {
    for (std::size_t i = 0; i < kKeys; ++i) {
      Schedule(milliseconds(i),
               [this, i] { Send(Key(i), i % kEntries, true); });
    }
    Schedule(seconds(1), [this] { RecoverAbandonedRequests(); });
    while (!events_.empty() && events_.begin()->first < kEnd) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    for (std::size_t i = 0; i < kKeys; ++i) {
      history_.states_[Key(i)] = Find(Key(i)).state_;
    }
    for (const auto& entry : entries_) {
      history_.isAliveAtEnd_.push_back(!entry.isKilled_);
    }
    history_.injectionCount_ = nextInjection_;
    return history_;
  }

private:
  static constexpr std::size_t kKeys = 3;
  static constexpr std::size_t kEntries = 3;
  static constexpr std::size_t kUpstreams = 2;
  static constexpr std::size_t kMaxResends = 5;
  static constexpr std::size_t kNoCall = ~std::size_t{ 0 };
  static constexpr TimePoint kStart{ seconds(1000) };
  static constexpr TimePoint kEnd{ seconds(1400) };
  static constexpr Duration kDeadline = seconds(30);
  static constexpr Duration kCallTimeout = seconds(3);
  static constexpr Duration kProgressTimeout = seconds(10);

  struct SimulatedEntry
  {
    bool isKilled_ = false;
    bool isDraining_ = false;
    TimePoint frozenUntil_{};
    std::unique_ptr<RequestRecovery> recovery_;
    std::set<std::string> asyncKeys_;
  };

  /// One request that runs at one entry.
  struct Session
  {
    std::size_t entry_ = 0;
    std::size_t call_ = kNoCall;
    std::string key_;
    std::unique_ptr<AtMostOnceRequest> request_;
    std::size_t upstream_ = kUpstreams;
    /// Number of the event that the state machine waits for; events with an
    /// older number arrive too late and are dropped.
    unsigned expectedEvent_ = 0;
    bool isSending_ = false;
    /// The version of the record when it was last read as accepted.
    std::uint64_t acceptedVersion_ = 0;
  };
  using SessionPtr = std::shared_ptr<Session>;

  static std::string Key(std::size_t aIndex)
  {
    return "key-" + std::to_string(aIndex);
  }
  static std::string NameOf(std::size_t aEntry)
  {
    return "entry-" + std::to_string(aEntry) + "/1";
  }
  std::size_t RandomBelow(std::size_t aBelow) { return random_() % aBelow; }
  Duration RandomDelay()
  {
    bool isSlow = now_ < reorderedUntil_;
    return milliseconds(1 + RandomBelow(isSlow ? 4000 : 4));
  }
  WallTime WallNow() const
  {
    return WallTime(std::chrono::duration_cast<milliseconds>(
      now_.time_since_epoch() + std::chrono::hours(1000)));
  }

  void Schedule(Duration aAfter, std::function<void()> aCallback)
  {
    events_.emplace(now_ + aAfter, std::move(aCallback));
  }

  /// Runs a callback on an entry after a delay. A frozen entry runs it when it
  /// resumes, a killed entry never does.
  void ScheduleAtEntry(std::size_t aEntry,
                       Duration aAfter,
                       std::function<void()> aCallback)
  {
    Schedule(aAfter, [this, aEntry, aCallback = std::move(aCallback)] {
      const SimulatedEntry& entry = entries_[aEntry];
      if (entry.frozenUntil_ > now_) {
        ScheduleAtEntry(aEntry, entry.frozenUntil_ - now_, aCallback);
      } else if (!entry.isKilled_) {
        aCallback();
      }
    });
  }

  bool IsAlive(const std::string& aName) const
  {
    for (std::size_t i = 0; i < kEntries; ++i) {
      if (NameOf(i) == aName) {
        bool isRunning = entries_[i].frozenUntil_ <= now_;
        return !entries_[i].isKilled_ && isRunning;
      }
    }
    return false;
  }

  std::size_t NextAvailableEntry(std::size_t aEntry)
  {
    for (std::size_t i = 1; i < kEntries; ++i) {
      std::size_t other = (aEntry + i) % kEntries;
      if (IsAlive(NameOf(other)) && !entries_[other].isDraining_) {
        return other;
      }
    }
    return aEntry;
  }

  void Send(const std::string& aKey, std::size_t aEntry, bool aIsFirst)
  {
    if (!aIsFirst && ++resends_[aKey] > kMaxResends) {
      return;
    }
    std::size_t id = history_.calls_.size();
    Call call;
    call.key_ = aKey;
    call.entry_ = aEntry;
    call.isAsync_ = settings_.isAsync_;
    history_.calls_.push_back(call);
    if (entries_[aEntry].isKilled_) {
      Disconnect(id);
      return;
    }
    ScheduleAtEntry(aEntry, RandomDelay(), [this, id] { StartSession(id); });
    Schedule(seconds(8), [this, id] {
      if (!history_.calls_[id].outcome_) {
        Disconnect(id);
      }
    });
  }

  void Resend(std::size_t aCall, Duration aAfter)
  {
    Schedule(aAfter, [this, aCall] {
      const Call& call = history_.calls_[aCall];
      Send(call.key_, NextAvailableEntry(call.entry_), false);
    });
  }

  /// Ends a caller's connection; the caller sends the request again to another
  /// entry.
  void Disconnect(std::size_t aCall)
  {
    if (aCall == kNoCall || history_.calls_[aCall].isDisconnected_ ||
        history_.calls_[aCall].outcome_) {
      return;
    }
    history_.calls_[aCall].isDisconnected_ = true;
    Resend(aCall, milliseconds(50));
  }

  void Respond(const SessionPtr& aSession, const Finish& aFinish)
  {
    Call& call = history_.calls_[aSession->call_];
    if (call.isDisconnected_) {
      return;
    }
    call.outcome_ = aFinish.outcome_;
    call.answer_ = aFinish.answer_.body_;
    if (settings_.defect_ == Defect::WrongAnswer) {
      call.answer_ = AnswerTo(Key(1));
    }
    call.executionsAtOutcome_ = history_.executions_.contains(call.key_)
                                  ? history_.executions_.at(call.key_)
                                  : 0;
    LedgerRecord record = Find(call.key_);
    call.wasOpenAtOutcome_ = record.state_ == RequestState::Accepted &&
                             record.version_ == aSession->acceptedVersion_;
    bool isUnknown = aFinish.outcome_ == AtMostOnceOutcome::Unknown;
    bool isRefused = aFinish.outcome_ == AtMostOnceOutcome::NotRun;
    if (isUnknown || (isRefused && settings_.resendsAfterRefusal_)) {
      Resend(aSession->call_, seconds(1));
    }
  }

  SessionPtr MakeSession(std::size_t aEntry,
                         const std::string& aKey,
                         bool aIsAsync)
  {
    auto session = std::make_shared<Session>();
    session->entry_ = aEntry;
    session->key_ = aKey;
    LedgerCommand accept;
    accept.organisation_ = "booths";
    accept.key_ = aKey;
    accept.request_.entry_ = NameOf(aEntry);
    accept.request_.isAsync_ = aIsAsync;
    accept.request_.body_ = aKey;
    accept.request_.deadline_ =
      aIsAsync
        ? WallTime{}
        : WallNow() + std::chrono::duration_cast<milliseconds>(kDeadline);
    AtMostOnceRequestSettings settings;
    settings.entry_ = NameOf(aEntry);
    Session* raw = session.get();
    AtMostOnceRequest::Hooks hooks{
      [this, raw] {
        return !areUpstreamsAbsent_ && raw->upstream_ < kUpstreams;
      },
      [this](const std::string& aName) { return IsAlive(aName); },
      [this, aEntry] { return entries_[aEntry].isDraining_; }
    };
    session->request_ =
      std::make_unique<AtMostOnceRequest>(settings,
                                          hooks,
                                          accept,
                                          "n" + std::to_string(++nonceCount_),
                                          now_ + kDeadline);
    return session;
  }

  void StartSession(std::size_t aCall)
  {
    const Call& call = history_.calls_[aCall];
    auto session = MakeSession(call.entry_, call.key_, call.isAsync_);
    session->call_ = aCall;
    Perform(session, session->request_->Start());
  }

  void RunAsync(std::size_t aEntry, const std::string& aKey)
  {
    if (!entries_[aEntry].asyncKeys_.insert(aKey).second) {
      return;
    }
    auto session = MakeSession(aEntry, aKey, true);
    Perform(session, session->request_->Resume(Find(aKey), now_));
  }

  /// Passes an event to the state machine, unless that has already received
  /// another event instead, e.g. a timeout.
  void Deliver(const SessionPtr& aSession,
               unsigned aExpectedEvent,
               Duration aAfter,
               AtMostOnceEvent aEvent)
  {
    ScheduleAtEntry(aSession->entry_, aAfter, [=, this] {
      if (aSession->expectedEvent_ != aExpectedEvent) {
        return;
      }
      ++aSession->expectedEvent_;
      aSession->isSending_ = false;
      bool isDisconnected = aSession->call_ != kNoCall &&
                            history_.calls_[aSession->call_].isDisconnected_;
      if (isDisconnected) {
        aSession->request_->ExpireDeadline(now_);
      }
      if (const auto* reply = std::get_if<LedgerReply>(&aEvent)) {
        TrackAcceptedVersion(aSession, *reply);
      }
      Perform(aSession, aSession->request_->On(aEvent, now_));
    });
  }

  static void TrackAcceptedVersion(const SessionPtr& aSession,
                                   const LedgerReply& aReply)
  {
    if (aReply.result_ &&
        aReply.result_->record_.state_ == RequestState::Accepted) {
      aSession->acceptedVersion_ = aReply.result_->record_.version_;
    }
  }

  void Perform(const SessionPtr& aSession, AtMostOnceAction aAction)
  {
    unsigned expectedEvent = aSession->expectedEvent_;
    if (auto* propose = std::get_if<ProposeCommand>(&aAction)) {
      Propose(aSession, propose->command_);
    } else if (std::holds_alternative<LookUp>(aAction)) {
      LedgerResult result;
      result.record_ = Find(aSession->key_);
      Deliver(aSession, expectedEvent, RandomDelay(), LedgerReply{ result });
    } else if (const auto* prepare = std::get_if<PrepareUpstream>(&aAction)) {
      Prepare(aSession, prepare->requiredUpstream_);
    } else if (std::holds_alternative<SendRequest>(aAction)) {
      SendToUpstream(aSession);
    } else if (const auto* pause = std::get_if<Pause>(&aAction)) {
      Deliver(aSession, expectedEvent, pause->duration_, PauseEnded{});
    } else {
      End(aSession, std::get<Finish>(aAction));
    }
  }

  void End(const SessionPtr& aSession, const Finish& aFinish)
  {
    if (aFinish.unrecordedCompletion_) {
      RecordLate(aSession->entry_, *aFinish.unrecordedCompletion_);
    }
    if (aSession->call_ == kNoCall) {
      entries_[aSession->entry_].asyncKeys_.erase(aSession->key_);
      return;
    }
    Respond(aSession, aFinish);
    if (aFinish.outcome_ == AtMostOnceOutcome::Pending && settings_.isAsync_) {
      RunAsync(aSession->entry_, aSession->key_);
    }
  }

  void RecordLate(std::size_t aEntry, const LedgerCommand& aCommand)
  {
    ScheduleAtEntry(aEntry, seconds(1), [this, aCommand] { Apply(aCommand); });
  }

  void RecoverAbandonedRequests()
  {
    Schedule(seconds(1), [this] { RecoverAbandonedRequests(); });
    std::size_t recoveringEntry = NextAvailableEntry(kEntries - 1);
    if (settings_.defect_ == Defect::NoRecovery ||
        !IsAlive(NameOf(recoveringEntry))) {
      return;
    }
    auto& recovery = entries_[recoveringEntry].recovery_;
    if (recovery == nullptr) {
      recovery = std::make_unique<RequestRecovery>(
        [this](const std::string& aName) { return IsAlive(aName); });
    }
    for (const auto& [key, isOpen] : isOpen_) {
      if (!isOpen) {
        continue;
      }
      LedgerRecord record = Find(key);
      RecoveryAction action = recovery->Decide(record, now_, WallNow());
      if (action == RecoveryAction::Run) {
        RunAsync(recoveringEntry, key);
      } else if (action != RecoveryAction::None) {
        LedgerCommand command;
        command.organisation_ = record.organisation_;
        command.key_ = record.key_;
        command.version_ = record.version_;
        command.action_ = action == RecoveryAction::Withdraw
                            ? LedgerAction::Withdraw
                            : LedgerAction::MarkUnknown;
        Apply(command);
      }
    }
  }

  LedgerRecord Find(const std::string& aKey)
  {
    auto bytes = ledger_.AsStateMachine().query_(
      WriteQuery(LedgerLookup{ "booths", aKey }));
    auto records = ReadRecords(bytes);
    return records->empty() ? LedgerRecord{} : records->front();
  }

  LedgerResult Apply(LedgerCommand aCommand)
  {
    aCommand.time_ = WallNow();
    LedgerResult result = ledger_.Apply(aCommand);
    RequestState state = result.record_.state_;
    isOpen_[aCommand.key_] =
      state == RequestState::Accepted || state == RequestState::Granted;
    if (settings_.defect_ == Defect::GrantGivenTwice &&
        aCommand.action_ == LedgerAction::Grant &&
        result.record_.state_ == RequestState::Granted) {
      result.record_.grant_ = aCommand.grant_;
    }
    return result;
  }

  /// Sends a command to the ledger. The command may be duplicated or delayed,
  /// and its reply lost or delayed. A timeout reports a missing reply.
  void Propose(const SessionPtr& aSession, LedgerCommand aCommand)
  {
    unsigned expectedEvent = aSession->expectedEvent_;
    if (settings_.defect_ == Defect::RefusedWithoutWithdrawal &&
        aCommand.action_ == LedgerAction::Withdraw) {
      End(aSession, Finish{ AtMostOnceOutcome::NotRun, {}, std::nullopt });
      return;
    }
    if (settings_.defect_ == Defect::ReleasedAfterSending &&
        aCommand.action_ == LedgerAction::MarkUnknown) {
      aCommand.action_ = LedgerAction::Release;
    }
    if (aCommand.action_ == LedgerAction::Accept) {
      OnStep(Step::BeforeRecord, aSession);
    }
    ScheduleAtEntry(aSession->entry_, {}, [=, this] {
      Deliver(aSession, expectedEvent, kCallTimeout, LedgerReply{});
      for (unsigned copies = RandomBelow(10) == 0 ? 2 : 1; copies > 0;
           --copies) {
        Schedule(RandomDelay(), [=, this] {
          DeliverToLedger(aSession, expectedEvent, aCommand);
        });
      }
    });
  }

  void DeliverToLedger(const SessionPtr& aSession,
                       unsigned aExpectedEvent,
                       const LedgerCommand& aCommand)
  {
    LedgerResult result;
    if (settings_.defect_ == Defect::SentWithoutGrant &&
        aCommand.action_ == LedgerAction::Grant) {
      result.record_ = Find(aSession->key_);
      result.record_.state_ = RequestState::Granted;
      result.record_.grant_ = aCommand.grant_;
    } else {
      result = Apply(aCommand);
    }
    bool isLost = RandomBelow(20) == 0 || std::exchange(dropsNextReply_, false);
    if (isLost) {
      return;
    }
    Duration after = RandomDelay() + std::exchange(nextReplyDelay_, {});
    ScheduleAtEntry(aSession->entry_, after, [=, this] {
      if (aSession->expectedEvent_ != aExpectedEvent) {
        return;
      }
      switch (aCommand.action_) {
        case LedgerAction::Accept:
          OnStep(Step::AfterRecord, aSession);
          break;
        case LedgerAction::Grant:
          OnStep(Step::AfterGrant, aSession);
          break;
        case LedgerAction::Complete:
          OnStep(Step::AnswerRecorded, aSession);
          break;
        default:
          break;
      }
      Deliver(aSession, aExpectedEvent, {}, LedgerReply{ result });
    });
  }

  void Prepare(const SessionPtr& aSession, const std::string& aRequiredUpstream)
  {
    unsigned expectedEvent = aSession->expectedEvent_;
    if (areUpstreamsAbsent_) {
      Deliver(aSession, expectedEvent, RandomDelay(), NoUpstream{});
      return;
    }
    aSession->upstream_ =
      aRequiredUpstream.empty()
        ? RandomBelow(kUpstreams)
        : static_cast<std::size_t>(aRequiredUpstream[1] - '0');
    Deliver(aSession,
            expectedEvent,
            RandomDelay(),
            UpstreamReady{ "u" + std::to_string(aSession->upstream_),
                           upstreamIncarnation_,
                           settings_.deduplicates_ });
  }

  void SendToUpstream(const SessionPtr& aSession)
  {
    unsigned expectedEvent = aSession->expectedEvent_;
    aSession->isSending_ = true;
    Deliver(aSession, expectedEvent, kProgressTimeout, AttemptLost{ "silent" });
    std::size_t upstream = aSession->upstream_;
    OnStep(Step::Sent, aSession);
    Schedule(RandomDelay(), [=, this] {
      auto& executedKeys = executedKeys_[upstream];
      bool isDuplicate =
        settings_.deduplicates_ && executedKeys.contains(aSession->key_);
      if (!isDuplicate) {
        ++history_.executions_[aSession->key_];
        executedKeys.insert(aSession->key_);
      }
      OnStep(Step::FirstByte, aSession);
      Schedule(milliseconds(10),
               [=, this] { SendAnswer(aSession, expectedEvent); });
    });
  }

  void SendAnswer(const SessionPtr& aSession, unsigned aExpectedEvent)
  {
    OnStep(Step::MidAnswer, aSession);
    if (std::exchange(dropsNextReply_, false)) {
      return;
    }
    Duration after = RandomDelay() + std::exchange(nextReplyDelay_, {});
    ScheduleAtEntry(aSession->entry_, after, [=, this] {
      if (aSession->expectedEvent_ != aExpectedEvent) {
        return;
      }
      OnStep(Step::Answered, aSession);
      RecordedAnswer answer{ 200, "text/plain", AnswerTo(aSession->key_) };
      Deliver(aSession, aExpectedEvent, {}, AttemptAnswered{ answer });
    });
  }

  void OnStep(Step aStep, const SessionPtr& aSession)
  {
    if (nextInjection_ < settings_.injections_.size() &&
        aSession->key_ == Key(0) &&
        settings_.injections_[nextInjection_].step_ == aStep) {
      Inject(settings_.injections_[nextInjection_++].fault_, aSession);
    }
  }

  void Inject(Fault aFault, const SessionPtr& aSession)
  {
    SimulatedEntry& entry = entries_[aSession->entry_];
    switch (aFault) {
      case Fault::Killed:
        Kill(aSession->entry_);
        break;
      case Fault::Frozen:
        entry.frozenUntil_ = now_ + milliseconds(500 + RandomBelow(40'000));
        break;
      case Fault::Reset:
        if (aSession->isSending_) {
          Deliver(
            aSession, aSession->expectedEvent_, {}, AttemptLost{ "reset" });
        } else {
          dropsNextReply_ = true;
        }
        break;
      case Fault::ReplyLost:
        dropsNextReply_ = true;
        break;
      case Fault::ReplyDelayed:
        nextReplyDelay_ = seconds(1 + RandomBelow(12));
        break;
      case Fault::OutOfOrder:
        reorderedUntil_ = now_ + seconds(10);
        break;
      case Fault::CallerDisconnected:
        Disconnect(aSession->call_);
        break;
      case Fault::ResentElsewhere:
        Send(aSession->key_, NextAvailableEntry(aSession->entry_), false);
        break;
      case Fault::UpstreamsAbsent:
        areUpstreamsAbsent_ = true;
        Schedule(seconds(20), [this] {
          areUpstreamsAbsent_ = false;
          ++upstreamIncarnation_;
        });
        break;
      case Fault::Reclaimed:
        entry.isDraining_ = true;
        Schedule(seconds(2), [this, at = aSession->entry_] { Kill(at); });
        break;
    }
  }

  void Kill(std::size_t aEntry)
  {
    entries_[aEntry].isKilled_ = true;
    for (std::size_t i = 0; i < history_.calls_.size(); ++i) {
      if (history_.calls_[i].entry_ == aEntry) {
        Disconnect(i);
      }
    }
  }

  SimulationSettings settings_;
  std::mt19937_64 random_;
  TimePoint now_ = kStart;
  std::multimap<TimePoint, std::function<void()>> events_;
  History history_;
  Ledger ledger_;
  std::array<SimulatedEntry, kEntries> entries_;
  std::array<std::set<std::string>, kUpstreams> executedKeys_;
  std::map<std::string, std::size_t> resends_;
  /// Whether a key's record is accepted or granted, so that recovery has to
  /// examine it.
  std::map<std::string, bool> isOpen_;
  unsigned nonceCount_ = 0;
  std::size_t nextInjection_ = 0;
  bool dropsNextReply_ = false;
  bool areUpstreamsAbsent_ = false;
  std::uint64_t upstreamIncarnation_ = 1;
  Duration nextReplyDelay_{};
  TimePoint reorderedUntil_{};
};

} // namespace tanagerstall::matrix

#endif
