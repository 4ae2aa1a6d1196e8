#ifndef TANAGERSTALL_SOAK_CHECKER_HPP_INCLUDED
#define TANAGERSTALL_SOAK_CHECKER_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_message.hpp"
#include "tanagerstall/request/tanagerstall_caller_protocol.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tanagerstall::soak {

/// A promise that was found broken.
struct Finding
{
  std::string rule_;
  std::string detail_;
};

/// One try of a caller, as it was sent.
struct SentRequest
{
  std::string id_;
  RequestKind kind_ = RequestKind::Idempotent;
  bool canRunAgain_ = false;
  std::string service_;
  std::string target_;
  std::string body_;
  std::string organisation_;
  /// Whether a configuration that is in force may lack its route.
  bool canLackRoute_ = false;
};

/// What a caller saw of an answer.
struct ReceivedResponse
{
  /// 0 if the connection ended before a head.
  int status_ = 0;
  bool isWhole_ = false;
  std::string seal_;
  std::string body_;
};

/// How many events a stream of the soak's replicas has.
constexpr int kStreamEvents = 20;

/// What replicas answer to a request.
std::string
ExpectedBody(RequestKind aKind, const std::string& aId);
std::string
MakeStreamEvent(const std::string& aId, int aNumber);
std::string
MakeSeal(const std::string& aId, int aStatus);

/// Compares what callers and replicas see with what was promised. Needs no
/// network.
class RequestChecker
{
public:
  using FindingHook = std::function<void(const Finding&)>;

  RequestChecker(CallerProtocol aProtocol, FindingHook aAddFinding);

  void OnSent(SentRequest aRequest);
  /// A replica of a service begins to work on a request.
  void OnStarted(const std::string& aService, const HttpRequest& aRequest);
  /// The caller has an answer, or none.
  void OnResponse(const std::string& aId, const ReceivedResponse& aResponse);
  /// How many replicas began to work on a request.
  unsigned RunCount(const std::string& aId) const;

private:
  struct TrackedRequest
  {
    SentRequest sent_;
    unsigned runs_ = 0;
    /// It was answered as not run.
    bool isReportedNotRun_ = false;
  };

  void CheckStart(const TrackedRequest& aTracked,
                  const std::string& aService,
                  const HttpRequest& aRequest);
  void CheckSuccess(const TrackedRequest& aTracked,
                    const ReceivedResponse& aResponse);
  void CheckFailure(TrackedRequest& aTracked,
                    const ReceivedResponse& aResponse);
  void AddFinding(const char* aRule, const std::string& aDetail);

  CallerProtocol protocol_;
  FindingHook addFinding_;
  std::map<std::string, TrackedRequest> requests_;
};

/// Compares calls to the cloud with what holders of duties promise.
class LeaderTaskChecker
{
public:
  explicit LeaderTaskChecker(RequestChecker::FindingHook aAddFinding);

  /// A call arrived from a host. `isExcused` where its sender or its links
  /// were just repaired.
  void OnCall(const std::string& aSubject,
              std::uint64_t aFencingToken,
              const std::string& aSender,
              bool aCanBeStale);
  void OnReport(std::uint64_t aWindow, const std::string& aCounts);

private:
  struct Subject
  {
    std::uint64_t newest_ = 0;
    std::map<std::uint64_t, std::string> senders_;
  };

  RequestChecker::FindingHook addFinding_;
  std::map<std::string, Subject> subjects_;
  std::map<std::uint64_t, std::string> windows_;
};

/// Compares what control processes and entries show of the configuration with
/// what was acknowledged.
class ConfigurationChecker
{
public:
  explicit ConfigurationChecker(RequestChecker::FindingHook aAddFinding);

  void OnSent(std::uint64_t aNumber, const std::string& aDocument);
  /// A change was acknowledged to its operator.
  void OnAcknowledged(std::uint64_t aNumber);
  /// A read that was sent when at least `aMinNumber` was long acknowledged.
  void OnRead(const std::string& aMember,
              std::uint64_t aMinNumber,
              std::uint64_t aNumber,
              const std::string& aDocument);
  /// A request on the route that a change added was served, or refused as
  /// unknown, at an incarnation of an entry. `aIsRequired` where the change has
  /// to be in force there.
  void OnProbe(const std::string& aEntry,
               std::uint64_t aNumber,
               bool aIsServed,
               bool aIsRequired);

  std::uint64_t NewestAcknowledged() const { return newest_; }
  std::uint64_t NewestSent() const;

private:
  RequestChecker::FindingHook addFinding_;
  std::map<std::uint64_t, std::string> documents_;
  std::uint64_t newest_ = 0;
  std::map<std::string, std::uint64_t> newestServed_;
};

} // namespace tanagerstall::soak

#endif
