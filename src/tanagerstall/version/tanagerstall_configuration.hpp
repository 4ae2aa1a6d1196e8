#ifndef TANAGERSTALL_CONFIGURATION_HPP_INCLUDED
#define TANAGERSTALL_CONFIGURATION_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerstall {

enum class ServiceProtocol
{
  /// A model engine that serves chat and text completions.
  Model,
  /// Any HTTP service.
  Plain
};

/// Whether the requests that match a method and path prefix are idempotent. A
/// service applies the first rule that matches.
struct RequestRule
{
  /// An HTTP method in upper case, or "*" for any method.
  std::string method_ = "*";
  std::string pathPrefix_ = "/";
  bool isIdempotent_ = false;
  /// Whether a non-idempotent request without an idempotency key is refused.
  bool isKeyRequired_ = true;

  bool operator==(const RequestRule&) const = default;
};

/// The latency targets of a service.
struct LatencyTarget
{
  std::chrono::milliseconds firstToken_{ 640 };
  std::chrono::milliseconds betweenTokens_{ 72 };
  /// From the request to the end of the response; also the default deadline
  /// of a request.
  std::chrono::milliseconds whole_{ 120'000 };

  bool operator==(const LatencyTarget&) const = default;
};

struct ServiceRecord
{
  std::string name_;
  ServiceProtocol protocol_ = ServiceProtocol::Plain;
  LatencyTarget target_;
  std::vector<RequestRule> rules_;

  /// Returns the first matching rule; without a match, a default rule under
  /// which the request is not idempotent and requires a key.
  RequestRule RuleFor(std::string_view aMethod, std::string_view aPath) const;

  bool operator==(const ServiceRecord&) const = default;
};

/// The desired number of replicas of a service, and the failure domains,
/// instance classes and model version to run them with.
struct ReplicasRecord
{
  std::string service_;
  std::uint32_t count_ = 0;
  std::vector<std::string> failureDomains_;
  std::vector<std::string> instanceClasses_;
  std::string model_;
  std::string version_;

  bool operator==(const ReplicasRecord&) const = default;
};

struct OrganisationRecord
{
  std::string name_;
  /// SHA-256 of each bearer token, as lower-case hexadecimal.
  std::vector<std::string> tokenHashes_;
  /// The share of capacity relative to other organisations.
  double weight_ = 1.0;
  /// Concurrent requests over all entries; 0 means no limit.
  std::uint32_t maxConcurrent_ = 0;

  bool operator==(const OrganisationRecord&) const = default;
};

/// Budgets and retention times that apply to the whole cluster.
struct PolicyRecord
{
  /// Allowed retries as a fraction of requests.
  double retryRatio_ = 0.2;
  /// Allowed hedged requests as a fraction of requests.
  double hedgeRatio_ = 0.05;
  std::uint64_t linkBytesPerSecond_ = 3'750'000;
  double maxPricePerHour_ = 0.0;
  std::chrono::milliseconds discoveryTimeToLive_{ 3000 };
  std::chrono::milliseconds answerRetention_{ 24 * 3600 * 1000 };

  bool operator==(const PolicyRecord&) const = default;
};

/// All configuration records at one revision. Immutable once published.
struct Configuration
{
  std::uint64_t revision_ = 0;
  std::map<std::string, ServiceRecord, std::less<>> services_;
  std::map<std::string, ReplicasRecord, std::less<>> replicas_;
  std::map<std::string, OrganisationRecord, std::less<>> organisations_;
  PolicyRecord policy_;

  /// Returns the organisation that owns a bearer token, or nullptr.
  const OrganisationRecord* FindByToken(std::string_view aToken) const;

  bool operator==(const Configuration&) const = default;
};

} // namespace tanagerstall

#endif
