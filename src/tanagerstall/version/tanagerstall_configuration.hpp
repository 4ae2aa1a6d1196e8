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
  /// A model engine with the chat and text completion calls.
  Model,
  /// Any HTTP service.
  Plain
};

/// Which requests of a service may be repeated. The first match decides.
struct RequestRule
{
  /// "*" stands for every method.
  std::string method_ = "*";
  std::string pathPrefix_ = "/";
  bool isIdempotent_ = false;
  /// Whether a non-idempotent request without a key is refused.
  bool isKeyRequired_ = true;

  bool operator==(const RequestRule&) const = default;
};

struct LatencyTarget
{
  std::chrono::milliseconds firstToken_{ 640 };
  std::chrono::milliseconds betweenTokens_{ 72 };
  /// The whole answer; also the default deadline of a request.
  std::chrono::milliseconds whole_{ 120'000 };

  bool operator==(const LatencyTarget&) const = default;
};

struct ServiceRecord
{
  std::string name_;
  ServiceProtocol protocol_ = ServiceProtocol::Plain;
  LatencyTarget target_;
  std::vector<RequestRule> rules_;

  /// The rule for a request; without a match it is not idempotent.
  RequestRule RuleFor(std::string_view aMethod, std::string_view aPath) const;

  bool operator==(const ServiceRecord&) const = default;
};

/// How many replicas of a service to keep, and where.
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
  double weight_ = 1.0;
  /// Requests at once over all entries; 0 sets no limit.
  std::uint32_t maxConcurrent_ = 0;

  bool operator==(const OrganisationRecord&) const = default;
};

/// Budgets and times that hold for the whole system.
struct PolicyRecord
{
  /// Retries and hedges allowed per request, as a share of requests.
  double retryRatio_ = 0.2;
  double hedgeRatio_ = 0.05;
  std::uint64_t linkBytesPerSecond_ = 3'750'000;
  double maxPricePerHour_ = 0.0;
  std::chrono::milliseconds discoveryTimeToLive_{ 3000 };
  std::chrono::milliseconds answerRetention_{ 24 * 3600 * 1000 };

  bool operator==(const PolicyRecord&) const = default;
};

/// The canonical configuration at one revision. Immutable once published.
struct Configuration
{
  std::uint64_t revision_ = 0;
  std::map<std::string, ServiceRecord, std::less<>> services_;
  std::map<std::string, ReplicasRecord, std::less<>> replicas_;
  std::map<std::string, OrganisationRecord, std::less<>> organisations_;
  PolicyRecord policy_;

  /// The organisation with this token, or nullptr.
  const OrganisationRecord* FindByToken(std::string_view aToken) const;

  bool operator==(const Configuration&) const = default;
};

} // namespace tanagerstall

#endif
