#ifndef TANAGERSTALL_SOAK_JUDGE_HPP_INCLUDED
#define TANAGERSTALL_SOAK_JUDGE_HPP_INCLUDED

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
  bool isRepeatable_ = false;
  std::string service_;
  std::string target_;
  std::string body_;
  std::string organisation_;
  /// Whether a configuration that is in force may lack its route.
  bool mayBeUnknown_ = false;
};

/// What a caller saw of an answer.
struct SeenAnswer
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
WholeBody(RequestKind aKind, const std::string& aId);
std::string
StreamEvent(const std::string& aId, int aNumber);
std::string
SealOf(const std::string& aId, int aStatus);

/// Compares what callers and replicas see with what was promised. Needs no
/// network.
class RequestJudge
{
public:
  using FindingHook = std::function<void(const Finding&)>;

  RequestJudge(CallerProtocol aProtocol, FindingHook aFound);

  void Sent(SentRequest aRequest);
  /// A replica of a service begins to work on a request.
  void Began(const std::string& aService, const HttpRequest& aRequest);
  /// The caller has an answer, or none.
  void Answered(const std::string& aId, const SeenAnswer& aAnswer);
  /// How many replicas began to work on a request.
  unsigned Runs(const std::string& aId) const;

private:
  struct Known
  {
    SentRequest sent_;
    unsigned runs_ = 0;
    /// It was answered as not run.
    bool isPromised_ = false;
  };

  void CheckBegin(const Known& aKnown,
                  const std::string& aService,
                  const HttpRequest& aRequest);
  void CheckSuccess(const Known& aKnown, const SeenAnswer& aAnswer);
  void CheckFailure(Known& aKnown, const SeenAnswer& aAnswer);
  void Find(const char* aRule, const std::string& aDetail);

  CallerProtocol protocol_;
  FindingHook found_;
  std::map<std::string, Known> requests_;
};

/// Compares calls to the cloud with what holders of duties promise.
class DutyJudge
{
public:
  explicit DutyJudge(RequestJudge::FindingHook aFound);

  /// A call arrived from a host. `isExcused` where its sender or its links
  /// were just repaired.
  void Called(const std::string& aSubject,
              std::uint64_t aFence,
              const std::string& aSender,
              bool aIsExcused);
  void Reported(std::uint64_t aWindow, const std::string& aCounts);

private:
  struct Subject
  {
    std::uint64_t newest_ = 0;
    std::map<std::uint64_t, std::string> senders_;
  };

  RequestJudge::FindingHook found_;
  std::map<std::string, Subject> subjects_;
  std::map<std::uint64_t, std::string> windows_;
};

/// Compares what control processes and entries show of the configuration with
/// what was acknowledged.
class ConfigurationJudge
{
public:
  explicit ConfigurationJudge(RequestJudge::FindingHook aFound);

  void Sent(std::uint64_t aNumber, const std::string& aDocument);
  /// A change was acknowledged to its operator.
  void Acknowledged(std::uint64_t aNumber);
  /// A read that was sent when at least `aAtLeast` was long acknowledged.
  void Read(const std::string& aWhere,
            std::uint64_t aAtLeast,
            std::uint64_t aNumber,
            const std::string& aDocument);
  /// A request on the route that a change added was served, or refused as
  /// unknown, at an incarnation of an entry. `aIsDue` where the change has to
  /// be in force there.
  void Probed(const std::string& aEntry,
              std::uint64_t aNumber,
              bool aIsServed,
              bool aIsDue);

  std::uint64_t NewestAcknowledged() const { return newest_; }
  std::uint64_t NewestSent() const;

private:
  RequestJudge::FindingHook found_;
  std::map<std::uint64_t, std::string> documents_;
  std::uint64_t newest_ = 0;
  std::map<std::string, std::uint64_t> seen_;
};

} // namespace tanagerstall::soak

#endif
