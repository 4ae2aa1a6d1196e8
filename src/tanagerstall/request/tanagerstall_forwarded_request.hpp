#ifndef TANAGERSTALL_FORWARDED_REQUEST_HPP_INCLUDED
#define TANAGERSTALL_FORWARDED_REQUEST_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_message.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica.hpp"
#include "tanagerstall/request/tanagerstall_caller_protocol.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace tanagerstall {

/// What a caller says of the size of its prompt and its answer.
struct PromptFacts
{
  std::uint64_t promptTokens_ = 0;
  std::uint64_t maxOutputTokens_ = 0;
  /// The last part of the prompt that other requests share; 0 for none.
  std::uint64_t sharedPart_ = 0;
};

/// One try of a caller, while an entry works on it.
struct ForwardedRequest
{
  /// Keeps the route and the organisation alive.
  std::shared_ptr<const TrafficPlan> plan_;
  const Route* route_ = nullptr;
  const PlanOrganisation* organisation_ = nullptr;
  std::string id_;
  std::string service_;
  TimePoint arrivedAt_;
  /// When the caller leaves or its route's timeout passes.
  TimePoint deadline_;
  PromptFacts prompt_;
  /// The work that it makes, for the choice of a replica.
  double cost_ = 1.0;
  /// What it counts against its organisation's limit, in the limit's unit.
  double limitCost_ = 0.0;

  /// When the first part of an answer came.
  std::optional<TimePoint> firstPartAt_;
  /// The longest pause between parts, and when the last one came.
  Duration longestGap_{ 0 };
  TimePoint lastPartAt_;
  /// Requests that ran at the chosen replica from here.
  std::uint32_t runningAtReplica_ = 0;
  std::string lastReplica_;
  /// Replicas that turned it down or failed.
  std::set<std::string> excluded_;
  /// Replicas on which it may have run.
  std::uint32_t runs_ = 0;
  /// Times that it was sent.
  std::uint32_t sends_ = 0;
  /// The last event that the caller has, for a stream that goes on elsewhere.
  std::string lastEventId_;

  /// Empty where the request is of none.
  std::string_view OrganisationName() const
  {
    return organisation_ == nullptr ? std::string_view() : organisation_->name_;
  }

  std::uint32_t Priority() const
  {
    return organisation_ != nullptr && organisation_->priority_
             ? *organisation_->priority_
             : route_->priority_;
  }
};

/// Reads the token counts and prompt parts; what is malformed counts as absent.
PromptFacts
ReadPromptFacts(const HttpRequest& aRequest, const CallerProtocol& aProtocol);

/// The milliseconds that a caller will wait, or nothing.
std::optional<Milliseconds>
ReadTimeRemaining(const HttpRequest& aRequest, const CallerProtocol& aProtocol);

/// The host that a request is for, in lower case and without a port.
std::string
HostOf(const HttpRequest& aRequest);

/// Whether a field concerns one connection only.
bool
IsConnectionField(std::string_view aName);

/// The request as a replica gets it.
HttpRequest
MakeUpstreamRequest(const HttpRequest& aFrom,
                    const ForwardedRequest& aRequest,
                    const Replica& aReplica,
                    const CallerProtocol& aProtocol,
                    TimePoint aNow);

/// The head of a replica's response as the caller gets it.
HttpResponse
MakeCallerResponse(const HttpResponse& aFrom);

} // namespace tanagerstall

#endif
