#ifndef TANAGERSTALL_FORWARDED_REQUEST_HPP_INCLUDED
#define TANAGERSTALL_FORWARDED_REQUEST_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_http_message.hpp"
#include "tanagerstall/process/presence/tanagerstall_replica.hpp"
#include "tanagerstall/request/tanagerstall_caller_protocol.hpp"
#include "tanagerstall/request/tanagerstall_crash_report.hpp"
#include "tanagerstall/request/tanagerstall_request_rank.hpp"
#include "tanagerstall/version/tanagerstall_traffic_plan.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace tanagerstall {

/// The field with which a caller resumes a stream after its last event.
constexpr std::string_view kLastEventId = "Last-Event-Id";

/// The prompt and answer sizes that a caller declares in its headers.
struct PromptFacts
{
  std::uint64_t promptTokens_ = 0;
  std::uint64_t maxOutputTokens_ = 0;
  /// The ids of the prompt parts that other requests may share, in order.
  PromptParts sharedParts_;

  /// The last shared part, which ends the longest prefix that other requests
  /// share; 0 for none.
  std::uint64_t LastSharedPart() const
  {
    return sharedParts_.empty() ? 0 : sharedParts_.back();
  }
};

/// The state of one caller request while an entry forwards it.
struct ForwardedRequest
{
  /// Owns `route_` and `organisation_`.
  std::shared_ptr<const TrafficPlan> plan_;
  const Route* route_ = nullptr;
  const PlanOrganisation* organisation_ = nullptr;
  std::string id_;
  std::string service_;
  TimePoint arrivedAt_;
  /// The earlier of the caller's own deadline and the route's timeout.
  TimePoint deadline_;
  PromptFacts prompt_;
  /// The same for all requests that ask for the same; 0 before it is known.
  std::uint64_t fingerprint_ = 0;
  /// The estimated work, in prompt tokens, by which replicas are chosen.
  double cost_ = 1.0;
  /// The cost charged to the organisation's limit, in the limit's unit.
  double limitCost_ = 0.0;

  /// When the first part of an answer arrived.
  std::optional<TimePoint> firstPartAt_;
  /// The longest pause between parts, and when the last part arrived.
  Duration longestGap_{ 0 };
  TimePoint lastPartAt_;
  /// Requests of this entry that were running at the chosen replica.
  std::uint32_t runningAtReplica_ = 0;
  std::string lastReplica_;
  /// Replicas that refused the request or failed.
  std::set<std::string> excluded_;
  /// Replicas on which the request may have run.
  std::uint32_t runs_ = 0;
  /// The number of times that the request was sent.
  std::uint32_t sends_ = 0;
  /// The type of the stream that the caller receives, by its head.
  std::string streamType_;
  /// The software version of the replicas that may go on with the stream, once
  /// the caller has an event of it. What versions write doesn't fit together.
  std::optional<std::string> streamVersion_{};
  /// The id of the last event sent to the caller, from which a stream is
  /// resumed at another replica.
  std::string lastEventId_;

  /// Returns the organisation's name, or "" if the request has none.
  std::string_view OrganisationName() const
  {
    return organisation_ == nullptr ? std::string_view() : organisation_->name_;
  }

  /// What may be the cause if the request crashes its replica.
  RequestCauses Causes() const
  {
    return { prompt_.sharedParts_, fingerprint_, service_ };
  }

  /// Where the request stands among the others of its service; 0 comes first.
  std::uint32_t Rank() const
  {
    return RankOf(organisation_ == nullptr ? std::nullopt
                                           : organisation_->priority_,
                  route_->priority_);
  }
};

/// Reads the token counts and prompt parts. Malformed values count as absent.
PromptFacts
ReadPromptFacts(const HttpRequest& aRequest, const CallerProtocol& aProtocol);

/// Returns how long the caller will wait, or nothing if the header is absent
/// or malformed.
std::optional<Milliseconds>
ReadTimeRemaining(const HttpRequest& aRequest, const CallerProtocol& aProtocol);

/// Returns the normalized host of the request.
std::string
HostOf(const HttpRequest& aRequest);

/// Whether a header field is hop-by-hop and must not be forwarded.
bool
IsConnectionField(std::string_view aName);

/// Builds the request that is sent to a replica.
HttpRequest
MakeUpstreamRequest(const HttpRequest& aFrom,
                    const ForwardedRequest& aRequest,
                    const Replica& aReplica,
                    const CallerProtocol& aProtocol,
                    TimePoint aNow);

/// Copies a response of a replica that may have run the request, for the caller
/// and without hop-by-hop fields. Returns nullopt if its status would promise
/// the caller of a non-idempotent request that it has not run.
std::optional<HttpResponse>
MakeCallerResponse(HttpResponse aFrom, const Route& aRoute);

} // namespace tanagerstall

#endif
