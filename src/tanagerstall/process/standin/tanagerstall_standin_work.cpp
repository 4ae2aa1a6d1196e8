#include "tanagerstall/process/standin/tanagerstall_standin_work.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

constexpr Duration kHoldPollInterval = std::chrono::milliseconds(20);

Duration
Scale(std::chrono::milliseconds aTime, double aFactor)
{
  std::chrono::duration<double, std::milli> scaled = aTime * aFactor;
  return std::chrono::duration_cast<Duration>(scaled);
}

} // namespace

StandinWork::StandinWork(StandinFaults aFaults)
  : random_(aFaults.seed_)
{
  SetFaults(aFaults, clock_.Now());
}

void
StandinWork::SetFaults(const StandinFaults& aFaults, TimePoint aNow)
{
  if (aFaults.seed_ != faults_.seed_) {
    random_.seed(aFaults.seed_);
  }
  faults_ = aFaults;
  stalledUntil_ = aNow + std::exchange(faults_.stall_, {});
  while (!waiting_.empty() &&
         (faults_.slots_ == 0 || running_ < faults_.slots_)) {
    ++running_;
    auto resume = std::move(waiting_.front());
    waiting_.pop_front();
    resume();
  }
}

void
StandinWork::AcquireSlot(Fiber& aFiber)
{
  if (faults_.slots_ == 0 || running_ < faults_.slots_) {
    ++running_;
    return;
  }
  aFiber.Suspend(
    [&](const Fiber::Resume& aResume) { waiting_.push_back(aResume); });
}

void
StandinWork::ReleaseSlot()
{
  if (waiting_.empty() || (faults_.slots_ > 0 && running_ > faults_.slots_)) {
    --running_;
    return;
  }
  auto resume = std::move(waiting_.front());
  waiting_.pop_front();
  resume();
}

double
StandinWork::DrawSlowdown()
{
  std::uniform_real_distribution<double> share(0.0, 1.0);
  return share(random_) < faults_.stragglerProbability_
           ? faults_.stragglerFactor_
           : 1.0;
}

StandinBreak
StandinWork::DrawBreak()
{
  if (faults_.break_ == StandinBreak::None || faults_.breakCount_ == 0) {
    return StandinBreak::None;
  }
  if (faults_.breakCount_ > 0) {
    --faults_.breakCount_;
  }
  return faults_.break_;
}

void
StandinWork::WaitForFirstToken(Fiber& aFiber, double aSlowdown)
{
  Wait(aFiber, Scale(faults_.firstToken_, aSlowdown));
  while (faults_.holds_) {
    aFiber.Sleep(kHoldPollInterval);
  }
}

void
StandinWork::WaitForToken(Fiber& aFiber, double aSlowdown)
{
  double others = running_ > 1 ? running_ - 1 : 0;
  double batch = 1.0 + faults_.batchSlowdown_ * others;
  Wait(aFiber, Scale(faults_.betweenTokens_, aSlowdown * batch));
}

void
StandinWork::Wait(Fiber& aFiber, Duration aFor)
{
  aFiber.Sleep(aFor);
  while (clock_.Now() < stalledUntil_) {
    aFiber.Sleep(stalledUntil_ - clock_.Now());
  }
}

double
StandinWork::ReportLoad(TimePoint aNow)
{
  if (faults_.slots_ == 0) {
    return -1.0;
  }
  double load = static_cast<double>(running_ + waiting_.size()) /
                static_cast<double>(faults_.slots_);
  loads_.push_back({ aNow, std::min(load, 1.0) });
  TimePoint visible = aNow - faults_.loadReportDelay_;
  while (loads_.size() > 1 && loads_[1].at_ <= visible) {
    loads_.pop_front();
  }
  return loads_.front().load_;
}

} // namespace tanagerstall
