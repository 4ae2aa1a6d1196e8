#ifndef TANAGERSTALL_SOAK_CHECKER_HPP_INCLUDED
#define TANAGERSTALL_SOAK_CHECKER_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_message.hpp"
#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/request/tanagerstall_caller_protocol.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tanagerstall::soak {

/// A violation of a guarantee.
struct Finding
{
  /// Short name of the guarantee. Requests: UNASKED (unknown or altered at the
  /// replica), ROUTE (wrong service), TWICE (an at-most-once request ran
  /// again), REFUSED (ran although reported as not run), MIXED (wrong
  /// response), ORDER (wrong stream events), DENIED (valid request rejected),
  /// LOST (response cut off by a planned stop), DRAIN (sent to a draining
  /// replica). Members: ONE (leader tasks executed by two members), CONFIG
  /// (outdated or wrong configuration), CLOUD (malformed call), STOP, END
  /// (exit of a process), RECOVER (too little service after faults). SOAK is a
  /// failure of the soak itself.
  std::string rule_;
  std::string detail_;
};

/// One request of a caller, as it was sent.
struct SentRequest
{
  std::string id_;
  RequestKind kind_ = RequestKind::Idempotent;
  /// Whether replicas may run it more than once.
  bool canRunAgain_ = false;
  std::string service_;
  std::string target_;
  std::string body_;
  std::string organisation_;
  /// Whether an entry's current configuration may lack its route, so that a
  /// 404 is correct.
  bool canLackRoute_ = false;
};

/// The part of a response that reached the caller.
struct ReceivedResponse
{
  /// 0 if the connection ended before the response head.
  int status_ = 0;
  /// Whether the response ended as its framing demands.
  bool isWhole_ = false;
  /// The header by which a replica binds the response to its request; empty if
  /// the entry made the response.
  std::string seal_;
  std::string body_;
};

/// Number of events in each streamed response.
constexpr int kStreamEvents = 20;

/// Returns the complete body that replicas send for a request.
std::string
ExpectedBody(RequestKind aKind, const std::string& aId);
/// Returns the server-sent event with number `aNumber`, counted from 1.
std::string
MakeStreamEvent(const std::string& aId, int aNumber);
/// Returns the seal of a replica's response with this status.
std::string
MakeSeal(const std::string& aId, int aStatus);

/// Checks that requests reach replicas unchanged and run as often as allowed,
/// and that callers receive the matching responses. Uses no network.
class RequestChecker
{
public:
  using FindingHook = std::function<void(const Finding&)>;

  RequestChecker(CallerProtocol aProtocol, FindingHook aAddFinding);

  void OnSent(SentRequest aRequest);
  /// Called when a replica of `aService` starts to run a request.
  void OnStarted(const std::string& aService, const HttpRequest& aRequest);
  /// Called when a caller's request ended, with or without a response. The
  /// request must have been passed to OnSent().
  void OnResponse(const std::string& aId, const ReceivedResponse& aResponse);
  /// Returns how often replicas started to run a request.
  unsigned RunCount(const std::string& aId) const;

private:
  struct TrackedRequest
  {
    SentRequest sent_;
    unsigned runs_ = 0;
    /// Whether its caller received a status which assures that it was not run.
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

/// A call of a leader task, as the cloud received it.
struct LeaderCall
{
  std::string subject_;
  std::uint64_t fencingToken_ = 0;
  std::string sender_;
  TimePoint at_;
  /// Whether the sender was continued, or its link to the cloud repaired, so
  /// shortly before that the call may be late.
  bool canBeLate_ = false;
};

/// Checks that at most one control member at a time executes leader tasks, by
/// its calls to the cloud.
class LeaderTaskChecker
{
public:
  explicit LeaderTaskChecker(RequestChecker::FindingHook aAddFinding);

  /// Called for each call that the cloud receives, in the order of arrival.
  void OnCall(const LeaderCall& aCall);
  /// Called for each usage report; a window must have the same counts in every
  /// report.
  void OnReport(std::uint64_t aWindow, const std::string& aCounts);

private:
  struct Subject
  {
    std::uint64_t newest_ = 0;
    std::map<std::uint64_t, std::string> senders_;
    /// The calls of the last lease time that weren't excused as late.
    std::deque<LeaderCall> recent_;
  };

  void CheckOrder(Subject& aSubject, const LeaderCall& aCall);

  RequestChecker::FindingHook addFinding_;
  std::map<std::string, Subject> subjects_;
  std::map<std::uint64_t, std::string> windows_;
};

/// Checks that control members and entries use the configurations that
/// operators sent, and none that is older than allowed.
class ConfigurationChecker
{
public:
  explicit ConfigurationChecker(RequestChecker::FindingHook aAddFinding);

  void OnSent(std::uint64_t aNumber, const std::string& aDocument);
  /// Called when a change was acknowledged to its operator.
  void OnAcknowledged(std::uint64_t aNumber);
  /// Called with the configuration that a control member returned. `aMinNumber`
  /// is the oldest one that it may return.
  void OnRead(const std::string& aMember,
              std::uint64_t aMinNumber,
              std::uint64_t aNumber,
              const std::string& aDocument);
  /// Called after a request on the route that change `aNumber` added: the entry
  /// served it or rejected it as unknown. `aEntry` identifies one incarnation
  /// of an entry. `aIsRequired` if the change must be in force by now.
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
