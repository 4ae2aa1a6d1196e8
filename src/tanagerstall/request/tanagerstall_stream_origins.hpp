#ifndef TANAGERSTALL_STREAM_ORIGINS_HPP_INCLUDED
#define TANAGERSTALL_STREAM_ORIGINS_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tanagerstall {

/// Identifies a stream: a hash of the id of the request that began it.
using StreamKey = std::uint64_t;

StreamKey
StreamKeyOf(std::string_view aRequestId);

/// What began a stream.
struct StreamOrigin
{
  std::string service_;
  /// The version of the replica's software; "" if it names none.
  std::string version_;

  bool operator==(const StreamOrigin&) const = default;
};

/// Streams with the same origin.
struct StreamGroup
{
  StreamOrigin origin_;
  std::vector<StreamKey> streams_;
  /// In a question: how long ago the streams were resumed.
  Duration waited_{ 0 };
  /// In an answer: whether nobody remembers the streams, but no other version
  /// could have begun them.
  bool isInferred_ = false;

  bool operator==(const StreamGroup&) const = default;
};

using StreamGroups = std::vector<StreamGroup>;

/// Remembers what began streams; the oldest are forgotten first when there are
/// too many. Reads no clock; not thread-safe.
class StreamOrigins
{
public:
  explicit StreamOrigins(std::size_t aMaxStreams);

  /// Records a stream that has begun. The first origin of a stream stays.
  void Record(StreamKey aStream, const StreamOrigin& aOrigin, TimePoint aNow);
  std::optional<StreamOrigin> Find(StreamKey aStream) const;
  /// Returns the streams of these services that were recorded and have not been
  /// returned yet.
  StreamGroups TakeNew(const std::set<std::string>& aServices);
  /// Forgets the streams that were recorded before `aTime`.
  void ForgetBefore(TimePoint aTime);
  std::size_t Size() const { return byKey_.size(); }

private:
  using SharedOrigin = std::shared_ptr<const StreamOrigin>;

  struct Recorded
  {
    StreamKey stream_ = 0;
    SharedOrigin origin_;
    TimePoint at_;
    bool isTaken_ = false;
  };

  SharedOrigin Share(const StreamOrigin& aOrigin);
  void ForgetOldest();

  std::size_t maxStreams_;
  std::unordered_map<StreamKey, SharedOrigin> byKey_;
  /// By the time of their record.
  std::deque<Recorded> recorded_;
  /// Most streams share one of few origins.
  std::vector<SharedOrigin> shared_;
};

} // namespace tanagerstall

#endif
