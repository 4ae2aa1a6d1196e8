#ifndef TANAGERSTALL_EXPERIMENT_MODEL_HPP_INCLUDED
#define TANAGERSTALL_EXPERIMENT_MODEL_HPP_INCLUDED

#include "tanagerstall/process/presence/tanagerstall_presence_table.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace tanagerstall {

/// A piece of work as the model of an upstream runs it.
struct ModelJob
{
  std::uint64_t id_ = 0;
  TimePoint arrivesAt_;
  /// Tokens to read before the first token is written.
  double promptTokens_ = 0;
  std::uint64_t prefixHash_ = 0;
  double prefixTokens_ = 0;
  double tokensToWrite_ = 0;
  /// Lower goes first.
  int priority_ = 0;
  double tokensRead_ = 0;
  double tokensWritten_ = 0;
  bool isRunning_ = false;
  std::uint64_t reportedTokens_ = 0;
};

/// Tokens that a job wrote in one step.
struct ModelProgress
{
  std::uint64_t job_ = 0;
  std::uint64_t tokens_ = 0;
  bool isFinished_ = false;
};

/// How fast the model of an upstream works.
struct ModelSpeed
{
  double promptTokensPerSecond_ = 4000;
  std::chrono::duration<double> timePerToken_{ 0.020 };
  /// Added to the time per token by each other sequence of the batch.
  double batchSlowdown_ = 0.08;
  /// Speed of writing while a prompt is read.
  double decodeSpeedDuringPrefill_ = 0.6;
  std::size_t maxCachedPrefixes_ = 6;
};

/// A model engine that batches continuously: a limited number of sequences run
/// together, further ones wait by priority, then in order of arrival; prompts
/// are read one after another, and their prefixes are kept in a small cache.
class ModelUpstream
{
public:
  ModelUpstream(UpstreamInfo aInfo, ModelSpeed aSpeed);

  void Add(ModelJob aJob);
  /// Removes a job; gives the tokens read and written for it.
  double Remove(std::uint64_t aJob);
  /// Removes all jobs and gives them.
  std::vector<ModelJob> Clear();
  /// Runs for `aStep` at `aSpeedFactor` of the usual speed.
  std::vector<ModelProgress> Run(TimePoint aNow,
                                 std::chrono::duration<double> aStep,
                                 double aSpeedFactor);
  /// Sequences running or waiting over those that run at once, at most 1.
  double Load() const;
  /// Prompt tokens read so far.
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
  /// Newest last.
  std::deque<std::uint64_t> prefixes_;
};

} // namespace tanagerstall

#endif
