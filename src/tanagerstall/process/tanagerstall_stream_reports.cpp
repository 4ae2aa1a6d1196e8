#include "tanagerstall/process/tanagerstall_stream_reports.hpp"

#include <algorithm>

namespace tanagerstall {

void
StreamReports::Append(const StreamGroups& aStreams, TimePoint aNow)
{
  if (!aStreams.empty()) {
    batches_.push_back({ ++last_, aNow, aStreams });
  }
}

auto
StreamReports::For(const std::string& aControl, std::uint64_t aRun) const
  -> Report
{
  bool isKnown = aControl == control_ && aRun == run_;
  Report report{ {}, last_ };
  for (const auto& batch : batches_) {
    if (!isKnown || batch.position_ > confirmed_) {
      report.streams_.insert(
        report.streams_.end(), batch.streams_.begin(), batch.streams_.end());
    }
  }
  return report;
}

void
StreamReports::Confirm(const std::string& aControl,
                       std::uint64_t aRun,
                       std::uint64_t aPosition)
{
  bool isKnown = aControl == control_ && aRun == run_;
  confirmed_ = isKnown ? std::max(confirmed_, aPosition) : aPosition;
  control_ = aControl;
  run_ = aRun;
}

void
StreamReports::ForgetBefore(TimePoint aTime)
{
  while (!batches_.empty() && batches_.front().at_ < aTime) {
    batches_.pop_front();
  }
}

std::uint64_t
ConfirmedPosition(std::uint64_t aReportedTo,
                  std::uint64_t aRun,
                  std::uint64_t aPosition)
{
  return aReportedTo == aRun ? aPosition : 0;
}

} // namespace tanagerstall
