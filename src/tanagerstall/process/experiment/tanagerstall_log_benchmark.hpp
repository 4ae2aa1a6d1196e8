#ifndef TANAGERSTALL_LOG_BENCHMARK_HPP_INCLUDED
#define TANAGERSTALL_LOG_BENCHMARK_HPP_INCLUDED

namespace tanagerstall {

/// Runs the command "log-benchmark" and returns the exit status. Measures
/// commits of a group of three members on disk, with group commit and with one
/// sync per entry; recovery with and without a snapshot; and the size of
/// snapshots. Prints one JSON object per line.
int
RunLogBenchmark(int aCount, const char* const* aArguments);

} // namespace tanagerstall

#endif
