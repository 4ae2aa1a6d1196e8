#ifndef TANAGERSTALL_STREAM_RESUMPTION_HPP_INCLUDED
#define TANAGERSTALL_STREAM_RESUMPTION_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_server.hpp"
#include "tanagerstall/request/tanagerstall_forwarded_request.hpp"
#include "tanagerstall/request/tanagerstall_stream_directory.hpp"

#include <functional>
#include <map>
#include <optional>

namespace tanagerstall {

/// Lets a stream that a caller resumes go on only at the software
/// version that began it. What didn't begin at this entry the leader is asked
/// for, since this entry may be out of date without knowing it. Belongs to the
/// thread of the forwarder.
class StreamResumption
{
public:
  /// `aAskLeader` has the leader asked without delay what Wanted() names.
  StreamResumption(Clock aClock, std::function<void()> aAskLeader);

  StreamDirectory& Directory() { return directory_; }
  /// Sets the service and the version of a request that resumes a stream.
  /// Waits for the leader if need be. Returns false if what began the stream
  /// can't be known.
  bool Prepare(HttpExchange& aExchange,
               const CallerProtocol& aProtocol,
               ForwardedRequest& aRequest);
  /// Records the version of the request's stream, if it has begun.
  void RecordStart(const ForwardedRequest& aRequest);
  /// The streams of which the leader is asked.
  StreamGroups Wanted() const;
  /// Adopts the leader's answer.
  void Adopt(const StreamGroups& aFound);

private:
  /// A stream that a request resumes.
  struct Resumed
  {
    std::string service_;
    TimePoint at_;
  };

  std::optional<StreamOrigin> Await(HttpExchange& aExchange,
                                    StreamKey aStream,
                                    const std::string& aService);

  Clock clock_;
  std::function<void()> askLeader_;
  StreamDirectory directory_;
  /// The streams that requests wait for.
  std::map<StreamKey, Resumed> wanted_;
};

} // namespace tanagerstall

#endif
