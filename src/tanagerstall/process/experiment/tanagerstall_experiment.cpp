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
constexpr Duration kTimeoutCheck = milliseconds(50);
constexpr Duration kSnapshotInterval = milliseconds(500);
constexpr Duration kReportDelay = std::chrono::seconds(5);
constexpr Duration kNotice = std::chrono::seconds(10);
constexpr Duration kDeadline = std::chrono::seconds(120);
constexpr Duration kWarmUp = std::chrono::seconds(30);
constexpr Duration kLatency = milliseconds(1);
constexpr Duration kRegionLatency = milliseconds(30);
constexpr double kLinkBytesPerSecond = 30e6 / 8;
constexpr std::uint64_t kBytesPerPromptToken = 4;
constexpr std::uint64_t kBytesPerToken = 250;
constexpr double kEurosPerLinkByte = 0.08e-9;
constexpr double kStalledSpeed = 0.02;
constexpr std::string_view kReclaimedDomain = "b";

/// A request on its way.
struct Call
{
  const WorkItem* item_ = nullptr;
  std::uint64_t ticket_ = 0;
  /// Its attempt in the entry's scheduler and its job at the upstream; 0 for
  /// none.
  std::uint64_t attempt_ = 0;
  std::uint64_t job_ = 0;
  std::size_t upstream_ = 0;
  std::uint64_t received_ = 0;
  std::vector<std::string> avoid_;
  TimePoint progressAt_;
  TimePoint firstAt_{};
  bool isEnded_ = false;
  bool isWhole_ = false;
  bool isRefused_ = false;
};

/// Something that reaches an entry later.
struct Message
{
  std::size_t call_ = 0;
  std::uint64_t job_ = 0;
  std::uint64_t tokens_ = 0;
  bool isFinished_ = false;
  bool isBroken_ = false;
};

class Simulation
{
public:
  explicit Simulation(const ExperimentCase& aCase);
  ExperimentResult Run();

private:
  void ApplyReclaim();
  void PublishSnapshot();
  void TakeArrivals();
  void DeliverMessages();
  void CheckTimeouts();
  void DecideAll();
  void RunUpstreams();
  void Ask(std::size_t aCall);
  void Send(std::size_t aCall, const Dispatch& aDispatch);
  void Receive(const Message& aMessage);
  void OnBroken(std::size_t aCall);
  void GiveUp(std::size_t aCall, AttemptEnd aEnd);
  void End(Call& aCall);
  Duration TravelTime(const Call& aCall, std::uint64_t aBytes, bool aIsBack);
  ExperimentResult Summarise() const;

  const ExperimentCase& case_;
  std::vector<WorkItem> work_;
  std::map<std::size_t, std::vector<StallPeriod>> stalls_;
  std::vector<ModelUpstream> upstreams_;
  std::vector<bool> isGone_;
  std::vector<std::deque<double>> loads_;
  std::unordered_map<std::string, std::size_t> positions_;
  std::vector<Scheduler> schedulers_;
  std::vector<std::unordered_map<std::uint64_t, std::size_t>> tickets_;
  std::vector<Call> calls_;
  std::vector<std::size_t> active_;
  std::unordered_map<std::uint64_t, std::size_t> jobs_;
  std::multimap<TimePoint, Message> messages_;
  RoutingSnapshot snapshot_;
  TimePoint now_ = kExperimentStart;
  TimePoint linkFreeAt_[2] = {};
  std::uint64_t lastJob_ = 0;
  std::uint64_t moves_ = 0;
  double recomputed_ = 0;
  std::uint64_t linkBytes_ = 0;
  double replicaHours_ = 0;
};

Simulation::Simulation(const ExperimentCase& aCase)
  : case_(aCase)
  , work_(MakeWork(aCase))
  , stalls_(MakeStalls(aCase))
  , tickets_(kExperimentEntries)
{
  for (auto& info : MakeUpstreams(aCase.mix_)) {
    positions_[info.id_] = upstreams_.size();
    ModelSpeed speed;
    if (info.service_ == "plain") {
      speed.batchSlowdown_ = 0;
    }
    upstreams_.emplace_back(info, speed);
  }
  isGone_.resize(upstreams_.size(), false);
  loads_.resize(upstreams_.size());
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
    TakeArrivals();
    DeliverMessages();
    if (since % kTimeoutCheck == Duration(0)) {
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

/// One failure domain goes after a notice, for a third of the time.
void
Simulation::ApplyReclaim()
{
  if (!case_.scenario_.hasReclaim_) {
    return;
  }
  Duration since = now_ - kExperimentStart;
  bool isGone =
    since >= case_.length_ / 3 + kNotice && since < case_.length_ * 2 / 3;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    if (upstreams_[i].Info().failureDomain_ != kReclaimedDomain) {
      continue;
    }
    isGone_[i] = isGone;
    for (const auto& job :
         isGone ? upstreams_[i].Clear() : std::vector<ModelJob>()) {
      recomputed_ += job.read_ + job.written_;
      auto it = jobs_.find(job.id_);
      if (it != jobs_.end()) {
        messages_.emplace(now_ + kLatency,
                          Message{ it->second, job.id_, 0, false, true });
      }
    }
  }
}

void
Simulation::PublishSnapshot()
{
  Duration since = now_ - kExperimentStart;
  bool isLeaving = case_.scenario_.hasReclaim_ && since >= case_.length_ / 3 &&
                   since < case_.length_ * 2 / 3;
  snapshot_.upstreams_.clear();
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    auto& loads = loads_[i];
    loads.push_back(upstreams_[i].Load());
    if (loads.size() >
        static_cast<std::size_t>(kReportDelay / kSnapshotInterval)) {
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
Simulation::TakeArrivals()
{
  while (calls_.size() < work_.size() && work_[calls_.size()].at_ <= now_) {
    Call call;
    call.item_ = &work_[calls_.size()];
    active_.push_back(calls_.size());
    calls_.push_back(call);
    Ask(calls_.size() - 1);
  }
}

void
Simulation::Ask(std::size_t aCall)
{
  Call& call = calls_[aCall];
  const WorkItem& item = *call.item_;
  RequestTraits traits;
  traits.service_ = item.class_ == WorkClass::Plain ? "plain" : "model";
  traits.organisation_ = item.organisation_;
  traits.promptTokens_ = item.promptTokens_ + call.received_;
  traits.maxTokens_ =
    item.maxTokens_ - std::min(item.maxTokens_ - 1, call.received_);
  traits.prefixHash_ = item.prefixHash_;
  traits.deadline_ = item.at_ + kDeadline;
  traits.avoid_ = call.avoid_;
  call.ticket_ = schedulers_[item.entry_].Enqueue(std::move(traits), now_);
  tickets_[item.entry_][call.ticket_] = aCall;
}

void
Simulation::DecideAll()
{
  for (std::size_t entry = 0; entry < schedulers_.size(); ++entry) {
    if (schedulers_[entry].WaitingCount() == 0) {
      continue;
    }
    for (auto& decision : schedulers_[entry].Decide(snapshot_, now_)) {
      auto it = tickets_[entry].find(decision.ticket_);
      std::size_t call = it->second;
      tickets_[entry].erase(it);
      calls_[call].ticket_ = 0;
      if (decision.result_) {
        Send(call, *decision.result_);
      } else {
        calls_[call].isRefused_ = true;
        End(calls_[call]);
      }
    }
  }
}

Duration
Simulation::TravelTime(const Call& aCall, std::uint64_t aBytes, bool aIsBack)
{
  const auto& region = upstreams_[aCall.upstream_].Info().region_;
  if (region == EntryRegion(aCall.item_->entry_)) {
    return kLatency;
  }
  linkBytes_ += aBytes;
  bool isToTwo = (region == "two") != aIsBack;
  TimePoint& freeAt = linkFreeAt_[isToTwo ? 1 : 0];
  freeAt = std::max(freeAt, now_) +
           std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
             static_cast<double>(aBytes) / kLinkBytesPerSecond));
  return freeAt - now_ + kRegionLatency;
}

void
Simulation::Send(std::size_t aCall, const Dispatch& aDispatch)
{
  Call& call = calls_[aCall];
  const WorkItem& item = *call.item_;
  call.attempt_ = aDispatch.attempt_;
  call.upstream_ = positions_.at(aDispatch.upstream_.id_);
  call.progressAt_ = now_;
  call.job_ = ++lastJob_;
  jobs_[call.job_] = aCall;
  ModelJob job;
  job.id_ = call.job_;
  job.promptTokens_ = static_cast<double>(item.promptTokens_ + call.received_);
  job.priority_ = aDispatch.priority_;
  job.prefixHash_ = item.prefixHash_;
  job.prefixTokens_ = static_cast<double>(item.prefixTokens_);
  job.tokensToWrite_ = static_cast<double>(item.tokens_ - call.received_);
  job.arrivesAt_ = now_ + TravelTime(call,
                                     (item.promptTokens_ + call.received_) *
                                       kBytesPerPromptToken,
                                     false);
  if (isGone_[call.upstream_]) {
    messages_.emplace(now_ + kLatency,
                      Message{ aCall, call.job_, 0, false, true });
    return;
  }
  upstreams_[call.upstream_].Add(job);
}

void
Simulation::RunUpstreams()
{
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    if (isGone_[i]) {
      continue;
    }
    replicaHours_ +=
      upstreams_[i].Info().pricePerHour_ *
      std::chrono::duration<double, std::ratio<3600>>(kStep).count();
    double speed = 1;
    for (const auto& stall : stalls_[i]) {
      if (stall.from_ <= now_ && now_ < stall.until_) {
        speed = kStalledSpeed;
      }
    }
    for (const auto& progress : upstreams_[i].Run(now_, kStep, speed)) {
      auto it = jobs_.find(progress.job_);
      if (it == jobs_.end()) {
        continue;
      }
      Duration travel =
        TravelTime(calls_[it->second], progress.tokens_ * kBytesPerToken, true);
      messages_.emplace(now_ + kStep + travel,
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
  Call& call = calls_[aMessage.call_];
  Scheduler& scheduler = schedulers_[call.item_->entry_];
  if (aMessage.isBroken_) {
    OnBroken(aMessage.call_);
    return;
  }
  if (call.firstAt_ == TimePoint{}) {
    call.firstAt_ = now_;
  }
  call.received_ += aMessage.tokens_;
  call.progressAt_ = now_;
  scheduler.OnProgress(call.attempt_, aMessage.tokens_, now_);
  if (aMessage.isFinished_) {
    scheduler.Finish(call.attempt_, AttemptEnd::Completed, now_);
    jobs_.erase(call.job_);
    call.isWhole_ = true;
    End(call);
  }
}

void
Simulation::OnBroken(std::size_t aCall)
{
  GiveUp(aCall, AttemptEnd::Failed);
  Call& call = calls_[aCall];
  if (schedulers_[call.item_->entry_].TakeRetry()) {
    ++moves_;
    Ask(aCall);
  } else {
    End(call);
  }
}

/// Ends the running attempt of a call.
void
Simulation::GiveUp(std::size_t aCall, AttemptEnd aEnd)
{
  Call& call = calls_[aCall];
  recomputed_ += upstreams_[call.upstream_].Remove(call.job_);
  schedulers_[call.item_->entry_].Finish(call.attempt_, aEnd, now_);
  jobs_.erase(call.job_);
  call.avoid_.push_back(upstreams_[call.upstream_].Info().id_);
  call.job_ = 0;
  call.attempt_ = 0;
}

void
Simulation::End(Call& aCall)
{
  aCall.isEnded_ = true;
  aCall.job_ = 0;
  aCall.attempt_ = 0;
}

void
Simulation::CheckTimeouts()
{
  for (std::size_t index : active_) {
    Call& call = calls_[index];
    if (call.isEnded_) {
      continue;
    }
    Scheduler& scheduler = schedulers_[call.item_->entry_];
    if (now_ >= call.item_->at_ + kDeadline) {
      if (call.job_ != 0) {
        GiveUp(index, AttemptEnd::Cancelled);
      } else {
        scheduler.Cancel(call.ticket_);
        tickets_[call.item_->entry_].erase(call.ticket_);
      }
      End(call);
    } else if (call.job_ != 0 && now_ - call.progressAt_ >=
                                   scheduler.ProgressTimeout(call.attempt_)) {
      if (scheduler.TakeMove(call.attempt_, snapshot_, now_)) {
        ++moves_;
        GiveUp(index, AttemptEnd::Failed);
        Ask(index);
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
    RequestEnd end{ *call.item_, kDeadline, call.isWhole_, call.isRefused_ };
    if (call.firstAt_ != TimePoint{}) {
      end.firstToken_ = call.firstAt_ - call.item_->at_;
    }
    ends.push_back(end);
  }
  ExperimentResult result = SummariseRequests(case_, ends);
  result.moves_ = moves_;
  for (const auto& upstream : upstreams_) {
    result.readTokens_ += static_cast<std::uint64_t>(upstream.ReadTokens());
  }
  result.recomputedTokens_ = static_cast<std::uint64_t>(recomputed_);
  result.linkBytes_ = linkBytes_;
  result.cost_ =
    replicaHours_ + kEurosPerLinkByte * static_cast<double>(linkBytes_);
  return result;
}

} // namespace

ExperimentResult
RunExperiment(const ExperimentCase& aCase)
{
  return Simulation(aCase).Run();
}

} // namespace tanagerstall
