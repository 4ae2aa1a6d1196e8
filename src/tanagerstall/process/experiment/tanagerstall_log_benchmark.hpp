#ifndef TANAGERSTALL_LOG_BENCHMARK_HPP_INCLUDED
#define TANAGERSTALL_LOG_BENCHMARK_HPP_INCLUDED

namespace tanagerstall {

/// The mode "log-benchmark": commits to a group of three members on real
/// folders, with group commit and with one sync for each entry; restarts with
/// and without a snapshot; sizes of snapshots. Prints one JSON object a line.
int
RunLogBenchmark(int aCount, const char* const* aArguments);

} // namespace tanagerstall

#endif
