#ifndef TANAGERSTALL_STREAM_REPORTS_HPP_INCLUDED
#define TANAGERSTALL_STREAM_REPORTS_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_stream_origins.hpp"

#include <deque>
#include <string>

namespace tanagerstall {

/// The streams that an entry reports to the leader, until it confirms them. A
/// leader that is new gets all that are remembered. Reads no clock.
class StreamReports
{
public:
  struct Report
  {
    StreamGroups streams_;
    /// Confirms all up to these.
    std::uint64_t position_ = 0;
  };

  void Append(const StreamGroups& aStreams, TimePoint aNow);
  /// Returns what a run of a control process has not confirmed.
  Report For(const std::string& aControl, std::uint64_t aRun) const;
  /// Records that a run of a control process has all up to a position.
  void Confirm(const std::string& aControl,
               std::uint64_t aRun,
               std::uint64_t aPosition);
  void ForgetBefore(TimePoint aTime);

private:
  struct Batch
  {
    std::uint64_t position_ = 0;
    TimePoint at_;
    StreamGroups streams_;
  };

  std::uint64_t last_ = 0;
  std::deque<Batch> batches_;
  /// Who confirmed the batches up to `confirmed_`.
  std::string control_;
  std::uint64_t run_ = 0;
  std::uint64_t confirmed_ = 0;
};

/// Returns the position that a run of a control process confirms for a report
/// that was made for the run `aReportedTo`. What was made for another run
/// leaves out the streams that only that one has.
std::uint64_t
ConfirmedPosition(std::uint64_t aReportedTo,
                  std::uint64_t aRun,
                  std::uint64_t aPosition);

} // namespace tanagerstall

#endif
