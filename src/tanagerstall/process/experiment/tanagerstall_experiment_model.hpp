#ifndef TANAGERSTALL_EXPERIMENT_MODEL_HPP_INCLUDED
#define TANAGERSTALL_EXPERIMENT_MODEL_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_presence_table.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace tanagerstall {

/// A request as the model of an upstream runs it.
struct ModelJob
{
  std::uint64_t id_ = 0;
  TimePoint arrivesAt_;
  /// Prompt tokens to process before the first token is generated.
  double promptTokens_ = 0;
  std::uint64_t prefixHash_ = 0;
  double prefixTokens_ = 0;
  double tokensToWrite_ = 0;
  /// Jobs with a lower value start first.
  int priority_ = 0;
  double tokensRead_ = 0;
  double tokensWritten_ = 0;
  bool isRunning_ = false;
  /// Generated tokens that earlier calls of Run() returned.
  std::uint64_t reportedTokens_ = 0;
};

/// Tokens that a job generated in one step.
struct ModelProgress
{
  std::uint64_t job_ = 0;
  std::uint64_t tokens_ = 0;
  bool isFinished_ = false;
};

/// The speed of the model of an upstream.
struct ModelSpeed
{
  double promptTokensPerSecond_ = 4000;
  std::chrono::duration<double> timePerToken_{ 0.020 };
  /// Each further sequence of the batch lengthens the time per token by this
  /// share.
  double batchSlowdown_ = 0.08;
  /// The factor on the decoding speed while a prompt is prefilled.
  double decodeSpeedDuringPrefill_ = 0.6;
  std::size_t maxCachedPrefixes_ = 6;
};

/// A model of an engine with continuous batching. A limited number of sequences
/// run together; others wait by priority, then in order of arrival. Prompts are
/// prefilled one after another, and their prefixes are kept in a small cache.
class ModelUpstream
{
public:
  ModelUpstream(UpstreamInfo aInfo, ModelSpeed aSpeed);

  void Add(ModelJob aJob);
  /// Removes a job and returns the number of tokens read and written for it; 0
  /// for an unknown job.
  double Remove(std::uint64_t aJob);
  /// Removes and returns all jobs, and clears the prefix cache.
  std::vector<ModelJob> Clear();
  /// Simulates `aStep` at `aSpeedFactor` times the usual speed.
  std::vector<ModelProgress> Run(TimePoint aNow,
                                 std::chrono::duration<double> aStep,
                                 double aSpeedFactor);
  /// The number of running and waiting sequences divided by the capacity, at
  /// most 1.
  double Load() const;
  /// Prompt tokens processed so far, without those from the prefix cache.
  double ReadTokens() const { return readTokens_; }
  const UpstreamInfo& Info() const { return info_; }

private:
  void Admit(TimePoint aNow);
  ModelJob* NextWaiting(TimePoint aNow);
  bool Prefill(double aTokens);
  void ApplyPrefixCache(ModelJob& aJob);

  UpstreamInfo info_;
  ModelSpeed speed_;
  std::vector<ModelJob> jobs_;
  double readTokens_ = 0;
  /// The cached prefixes, least recently used first.
  std::deque<std::uint64_t> prefixes_;
};

} // namespace tanagerstall

#endif
