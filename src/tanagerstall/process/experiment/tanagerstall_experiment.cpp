#include "tanagerstall/process/experiment/tanagerstall_experiment.hpp"

#include "tanagerstall/process/experiment/tanagerstall_experiment_summary.hpp"
#include "tanagerstall/process/experiment/tanagerstall_experiment_workload.hpp"
#include "tanagerstall/request/tanagerstall_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace tanagerstall {

namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kTimeoutCheckInterval = milliseconds(50);
constexpr Duration kSnapshotInterval = milliseconds(500);
/// The age of the loads that the schedulers see.
constexpr Duration kLoadReportDelay = std::chrono::seconds(5);
constexpr Duration kReclaimNotice = std::chrono::seconds(10);
constexpr Duration kDeadline = std::chrono::seconds(120);
/// Requests that arrive earlier than this after the start are not counted.
constexpr Duration kWarmUp = std::chrono::seconds(30);
constexpr Duration kLocalLatency = milliseconds(1);
constexpr Duration kRegionLatency = milliseconds(30);
/// The link between the regions carries 30 Mbit/s in each direction.
constexpr double kLinkBytesPerSecond = 30e6 / 8;
constexpr std::uint64_t kBytesPerPromptToken = 4;
/// Each token of an answer is sent as a server-sent event.
constexpr std::uint64_t kBytesPerAnswerToken = 250;
constexpr double kEurosPerLinkByte = 0.08e-9;
constexpr double kStalledSpeedFactor = 0.02;
constexpr std::string_view kReclaimedDomain = "b";

/// A request that has arrived at its entry.
struct SimulatedCall
{
  const WorkItem* item_ = nullptr;
  /// The ticket of a waiting request in the entry's scheduler; 0 for none.
  std::uint64_t ticket_ = 0;
  /// The running attempt in the entry's scheduler and its job at the upstream;
  /// 0 for none.
  std::uint64_t attempt_ = 0;
  std::uint64_t job_ = 0;
  std::size_t upstream_ = 0;
  std::uint64_t receivedTokens_ = 0;
  std::vector<std::string> avoid_;
  TimePoint progressAt_;
  TimePoint firstTokenAt_{};
  bool isEnded_ = false;
  bool isComplete_ = false;
  bool isRefused_ = false;
};

/// Progress or a failure of a job, on its way from the upstream to the entry.
struct Message
{
  std::size_t call_ = 0;
  std::uint64_t job_ = 0;
  std::uint64_t tokens_ = 0;
  bool isFinished_ = false;
  bool isFailed_ = false;
};

class Simulation
{
public:
  explicit Simulation(const ExperimentCase& aCase);
  ExperimentResult Run();

private:
  void ApplyReclaim();
  void PublishSnapshot();
  void ProcessArrivals();
  void DeliverMessages();
  void CheckTimeouts();
  void DecideAll();
  void RunUpstreams();
  void SubmitRequest(std::size_t aCall);
  void StartAttempt(std::size_t aCall, const Dispatch& aDispatch);
  void Receive(const Message& aMessage);
  void OnAttemptFailed(std::size_t aCall);
  void EndAttempt(std::size_t aCall, AttemptEnd aEnd);
  void FinishCall(SimulatedCall& aCall);
  Duration ScheduleTransfer(const SimulatedCall& aCall,
                            std::uint64_t aBytes,
                            bool aIsResponse);
  ExperimentResult Summarise() const;

  const ExperimentCase& case_;
  std::vector<WorkItem> work_;
  std::map<std::size_t, std::vector<StallPeriod>> stalls_;
  std::vector<ModelUpstream> upstreams_;
  /// By the index of the upstream.
  std::vector<bool> isReclaimed_;
  std::vector<std::deque<double>> recentLoads_;
  std::unordered_map<std::string, std::size_t> upstreamIndex_;
  std::vector<Scheduler> schedulers_;
  /// By the index of the entry.
  std::vector<std::unordered_map<std::uint64_t, std::size_t>> callsByTicket_;
  std::vector<SimulatedCall> calls_;
  /// Indices of the calls that have not ended.
  std::vector<std::size_t> active_;
  std::unordered_map<std::uint64_t, std::size_t> callsByJob_;
  /// By time of delivery.
  std::multimap<TimePoint, Message> messages_;
  RoutingSnapshot snapshot_;
  TimePoint now_ = kExperimentStart;
  /// When each direction of the link is idle again: towards region "one" and
  /// towards region "two".
  TimePoint linkFreeAt_[2] = {};
  std::uint64_t lastJob_ = 0;
  std::uint64_t moves_ = 0;
  double recomputedTokens_ = 0;
  std::uint64_t linkBytes_ = 0;
  /// In euros.
  double replicaCost_ = 0;
};

Simulation::Simulation(const ExperimentCase& aCase)
  : case_(aCase)
  , work_(MakeWorkload(aCase))
  , stalls_(MakeStalls(aCase))
  , callsByTicket_(kExperimentEntries)
{
  for (auto& info : MakeUpstreams(aCase.mix_)) {
    upstreamIndex_[info.id_] = upstreams_.size();
    ModelSpeed speed;
    if (info.service_ == "plain") {
      speed.batchSlowdown_ = 0;
    }
    upstreams_.emplace_back(info, speed);
  }
  isReclaimed_.resize(upstreams_.size(), false);
  recentLoads_.resize(upstreams_.size());
  for (std::size_t i = 0; i < kExperimentEntries; ++i) {
    PolicyOptions options = aCase.policy_;
    options.region_ = EntryRegion(i);
    schedulers_.emplace_back(options, aCase.seed_ * 100 + i);
    EntryInfo entry;
    entry.id_ = std::to_string(i);
    snapshot_.entries_.push_back(entry);
  }
}

ExperimentResult
Simulation::Run()
{
  TimePoint end = kExperimentStart + case_.length_ + kDeadline;
  for (; now_ < end; now_ += kStep) {
    Duration since = now_ - kExperimentStart;
    if (since % kSnapshotInterval == Duration(0)) {
      ApplyReclaim();
      PublishSnapshot();
    }
    ProcessArrivals();
    DeliverMessages();
    if (since % kTimeoutCheckInterval == Duration(0)) {
      CheckTimeouts();
    }
    DecideAll();
    RunUpstreams();
    if (calls_.size() == work_.size() && active_.empty()) {
      break;
    }
  }
  return Summarise();
}

/// Reclaims one failure domain. The notice is given after one third of the run;
/// the domain returns after two thirds.
void
Simulation::ApplyReclaim()
{
  if (!case_.scenario_.hasReclaim_) {
    return;
  }
  Duration since = now_ - kExperimentStart;
  bool isReclaimed = since >= case_.length_ / 3 + kReclaimNotice &&
                     since < case_.length_ * 2 / 3;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    if (upstreams_[i].Info().failureDomain_ != kReclaimedDomain) {
      continue;
    }
    isReclaimed_[i] = isReclaimed;
    for (const auto& job :
         isReclaimed ? upstreams_[i].Clear() : std::vector<ModelJob>()) {
      recomputedTokens_ += job.tokensRead_ + job.tokensWritten_;
      auto it = callsByJob_.find(job.id_);
      if (it != callsByJob_.end()) {
        messages_.emplace(now_ + kLocalLatency,
                          Message{ it->second, job.id_, 0, false, true });
      }
    }
  }
}

/// Updates what the schedulers know about upstreams. The failure domain to be
/// reclaimed is left out from the moment of the notice.
void
Simulation::PublishSnapshot()
{
  Duration since = now_ - kExperimentStart;
  bool isLeaving = case_.scenario_.hasReclaim_ && since >= case_.length_ / 3 &&
                   since < case_.length_ * 2 / 3;
  snapshot_.upstreams_.clear();
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    auto& loads = recentLoads_[i];
    loads.push_back(upstreams_[i].Load());
    if (loads.size() >
        static_cast<std::size_t>(kLoadReportDelay / kSnapshotInterval)) {
      loads.pop_front();
    }
    UpstreamInfo info = upstreams_[i].Info();
    info.reportedLoad_ = loads.front();
    if (!isLeaving || info.failureDomain_ != kReclaimedDomain) {
      snapshot_.upstreams_[info.service_].push_back(
        { info, now_ + std::chrono::seconds(3) });
    }
  }
}

void
Simulation::ProcessArrivals()
{
  while (calls_.size() < work_.size() && work_[calls_.size()].at_ <= now_) {
    SimulatedCall call;
    call.item_ = &work_[calls_.size()];
    active_.push_back(calls_.size());
    calls_.push_back(call);
    SubmitRequest(calls_.size() - 1);
  }
}

/// Enqueues the remaining work of a call at the scheduler of its entry.
void
Simulation::SubmitRequest(std::size_t aCall)
{
  SimulatedCall& call = calls_[aCall];
  const WorkItem& item = *call.item_;
  RequestTraits traits;
  traits.service_ = item.class_ == WorkClass::Plain ? "plain" : "model";
  traits.organisation_ = item.organisation_;
  traits.promptTokens_ = item.promptTokens_ + call.receivedTokens_;
  traits.maxTokens_ =
    item.maxTokens_ - std::min(item.maxTokens_ - 1, call.receivedTokens_);
  traits.prefixHash_ = item.prefixHash_;
  traits.deadline_ = item.at_ + kDeadline;
  traits.avoid_ = call.avoid_;
  call.ticket_ = schedulers_[item.entry_].Enqueue(std::move(traits), now_);
  callsByTicket_[item.entry_][call.ticket_] = aCall;
}

void
Simulation::DecideAll()
{
  for (std::size_t entry = 0; entry < schedulers_.size(); ++entry) {
    if (schedulers_[entry].WaitingCount() == 0) {
      continue;
    }
    for (auto& decision : schedulers_[entry].Decide(snapshot_, now_)) {
      auto it = callsByTicket_[entry].find(decision.ticket_);
      std::size_t call = it->second;
      callsByTicket_[entry].erase(it);
      calls_[call].ticket_ = 0;
      if (decision.result_) {
        StartAttempt(call, *decision.result_);
      } else {
        calls_[call].isRefused_ = true;
        FinishCall(calls_[call]);
      }
    }
  }
}

/// Returns the time until the bytes arrive. Bytes to another region wait until
/// the link has sent the earlier ones.
Duration
Simulation::ScheduleTransfer(const SimulatedCall& aCall,
                             std::uint64_t aBytes,
                             bool aIsResponse)
{
  const auto& region = upstreams_[aCall.upstream_].Info().region_;
  if (region == EntryRegion(aCall.item_->entry_)) {
    return kLocalLatency;
  }
  linkBytes_ += aBytes;
  bool isTowardsTwo = (region == "two") != aIsResponse;
  TimePoint& freeAt = linkFreeAt_[isTowardsTwo ? 1 : 0];
  freeAt = std::max(freeAt, now_) +
           std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
             static_cast<double>(aBytes) / kLinkBytesPerSecond));
  return freeAt - now_ + kRegionLatency;
}

void
Simulation::StartAttempt(std::size_t aCall, const Dispatch& aDispatch)
{
  SimulatedCall& call = calls_[aCall];
  const WorkItem& item = *call.item_;
  call.attempt_ = aDispatch.attempt_;
  call.upstream_ = upstreamIndex_.at(aDispatch.upstream_.id_);
  call.progressAt_ = now_;
  call.job_ = ++lastJob_;
  callsByJob_[call.job_] = aCall;
  ModelJob job;
  job.id_ = call.job_;
  job.promptTokens_ =
    static_cast<double>(item.promptTokens_ + call.receivedTokens_);
  job.priority_ = aDispatch.priority_;
  job.prefixHash_ = item.prefixHash_;
  job.prefixTokens_ = static_cast<double>(item.prefixTokens_);
  job.tokensToWrite_ =
    static_cast<double>(item.answerTokens_ - call.receivedTokens_);
  job.arrivesAt_ =
    now_ + ScheduleTransfer(call,
                            (item.promptTokens_ + call.receivedTokens_) *
                              kBytesPerPromptToken,
                            false);
  if (isReclaimed_[call.upstream_]) {
    messages_.emplace(now_ + kLocalLatency,
                      Message{ aCall, call.job_, 0, false, true });
    return;
  }
  upstreams_[call.upstream_].Add(job);
}

void
Simulation::RunUpstreams()
{
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    if (isReclaimed_[i]) {
      continue;
    }
    replicaCost_ +=
      upstreams_[i].Info().pricePerHour_ *
      std::chrono::duration<double, std::ratio<3600>>(kStep).count();
    double speed = 1;
    for (const auto& stall : stalls_[i]) {
      if (stall.from_ <= now_ && now_ < stall.until_) {
        speed = kStalledSpeedFactor;
      }
    }
    for (const auto& progress : upstreams_[i].Run(now_, kStep, speed)) {
      auto it = callsByJob_.find(progress.job_);
      if (it == callsByJob_.end()) {
        continue;
      }
      Duration transfer = ScheduleTransfer(
        calls_[it->second], progress.tokens_ * kBytesPerAnswerToken, true);
      messages_.emplace(now_ + kStep + transfer,
                        Message{ it->second,
                                 progress.job_,
                                 progress.tokens_,
                                 progress.isFinished_,
                                 false });
    }
  }
}

void
Simulation::DeliverMessages()
{
  while (!messages_.empty() && messages_.begin()->first <= now_) {
    Message message = messages_.begin()->second;
    messages_.erase(messages_.begin());
    if (calls_[message.call_].job_ == message.job_) {
      Receive(message);
    }
  }
}

void
Simulation::Receive(const Message& aMessage)
{
  SimulatedCall& call = calls_[aMessage.call_];
  Scheduler& scheduler = schedulers_[call.item_->entry_];
  if (aMessage.isFailed_) {
    OnAttemptFailed(aMessage.call_);
    return;
  }
  if (call.firstTokenAt_ == TimePoint{}) {
    call.firstTokenAt_ = now_;
  }
  call.receivedTokens_ += aMessage.tokens_;
  call.progressAt_ = now_;
  scheduler.OnProgress(call.attempt_, aMessage.tokens_, now_);
  if (aMessage.isFinished_) {
    scheduler.Finish(call.attempt_, AttemptEnd::Completed, now_);
    callsByJob_.erase(call.job_);
    call.isComplete_ = true;
    FinishCall(call);
  }
}

void
Simulation::OnAttemptFailed(std::size_t aCall)
{
  EndAttempt(aCall, AttemptEnd::Failed);
  SimulatedCall& call = calls_[aCall];
  if (schedulers_[call.item_->entry_].TakeRetry()) {
    ++moves_;
    SubmitRequest(aCall);
  } else {
    FinishCall(call);
  }
}

/// Ends the running attempt of a call and excludes its upstream from further
/// attempts.
void
Simulation::EndAttempt(std::size_t aCall, AttemptEnd aEnd)
{
  SimulatedCall& call = calls_[aCall];
  recomputedTokens_ += upstreams_[call.upstream_].Remove(call.job_);
  schedulers_[call.item_->entry_].Finish(call.attempt_, aEnd, now_);
  callsByJob_.erase(call.job_);
  call.avoid_.push_back(upstreams_[call.upstream_].Info().id_);
  call.job_ = 0;
  call.attempt_ = 0;
}

void
Simulation::FinishCall(SimulatedCall& aCall)
{
  aCall.isEnded_ = true;
  aCall.job_ = 0;
  aCall.attempt_ = 0;
}

void
Simulation::CheckTimeouts()
{
  for (std::size_t index : active_) {
    SimulatedCall& call = calls_[index];
    if (call.isEnded_) {
      continue;
    }
    Scheduler& scheduler = schedulers_[call.item_->entry_];
    if (now_ >= call.item_->at_ + kDeadline) {
      if (call.job_ != 0) {
        EndAttempt(index, AttemptEnd::Cancelled);
      } else {
        scheduler.Cancel(call.ticket_);
        callsByTicket_[call.item_->entry_].erase(call.ticket_);
      }
      FinishCall(call);
    } else if (call.job_ != 0 && now_ - call.progressAt_ >=
                                   scheduler.ProgressTimeout(call.attempt_)) {
      if (scheduler.TakeMove(call.attempt_, snapshot_, now_)) {
        ++moves_;
        EndAttempt(index, AttemptEnd::Failed);
        SubmitRequest(index);
      } else {
        call.progressAt_ = now_;
      }
    }
  }
  std::erase_if(active_,
                [&](std::size_t aIndex) { return calls_[aIndex].isEnded_; });
}

ExperimentResult
Simulation::Summarise() const
{
  std::vector<RequestEnd> ends;
  for (const auto& call : calls_) {
    if (call.item_->at_ < kExperimentStart + kWarmUp) {
      continue;
    }
    RequestEnd end{ *call.item_, kDeadline, call.isComplete_, call.isRefused_ };
    if (call.firstTokenAt_ != TimePoint{}) {
      end.firstToken_ = call.firstTokenAt_ - call.item_->at_;
    }
    ends.push_back(end);
  }
  ExperimentResult result = SummariseRequests(case_, ends);
  result.moves_ = moves_;
  for (const auto& upstream : upstreams_) {
    result.readTokens_ += static_cast<std::uint64_t>(upstream.ReadTokens());
  }
  result.recomputedTokens_ = static_cast<std::uint64_t>(recomputedTokens_);
  result.linkBytes_ = linkBytes_;
  result.cost_ =
    replicaCost_ + kEurosPerLinkByte * static_cast<double>(linkBytes_);
  return result;
}

} // namespace

ExperimentResult
RunExperiment(const ExperimentCase& aCase)
{
  return Simulation(aCase).Run();
}

} // namespace tanagerstall
