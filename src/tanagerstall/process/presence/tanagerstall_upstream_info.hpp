#ifndef TANAGERSTALL_UPSTREAM_INFO_HPP_INCLUDED
#define TANAGERSTALL_UPSTREAM_INFO_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace tanagerstall {

/// The contents of an upstream's announcement.
struct UpstreamInfo
{
  /// Unique over all services; by default made of service and address.
  std::string id_;
  std::string service_;
  /// "IP:port".
  std::string address_;
  std::string failureDomain_;
  std::string region_;
  std::string instanceClass_;
  double pricePerHour_ = 0.0;
  /// Increases with every start of the upstream.
  std::uint64_t incarnation_ = 0;
  /// Increases with every announcement of one incarnation.
  std::uint64_t sequence_ = 0;
  /// How long the announcement is valid without a renewal.
  std::chrono::milliseconds timeToLive_{ 3000 };
  /// How many requests it can run concurrently.
  std::uint32_t capacity_ = 1;
  /// Whether it rejects requests with an outdated fencing token.
  bool checksFencing_ = false;
  /// Whether it recognises a request that it has received before.
  bool deduplicates_ = false;
  /// Whether it accepts no new work; also set by a reclaim notice.
  bool isLeaving_ = false;
  /// The time until the instance is reclaimed; only with a reclaim notice.
  std::optional<std::chrono::milliseconds> reclaimIn_;
  /// The load from 0 to 1 that it last measured; negative if not reported.
  double reportedLoad_ = -1.0;

  bool operator==(const UpstreamInfo&) const = default;
};

/// An upstream that may get new work, and the time at which its announcement
/// expires unless renewed.
struct PresentUpstream
{
  PresentUpstream(UpstreamInfo aInfo, TimePoint aUntil)
    : info_(std::make_shared<const UpstreamInfo>(std::move(aInfo)))
    , presentUntil_(aUntil)
  {
  }
  PresentUpstream(std::shared_ptr<const UpstreamInfo> aInfo, TimePoint aUntil)
    : info_(std::move(aInfo))
    , presentUntil_(aUntil)
  {
  }

  /// Shared with the table to avoid copies: snapshots are taken several times
  /// a second.
  std::shared_ptr<const UpstreamInfo> info_;
  TimePoint presentUntil_;
};

} // namespace tanagerstall

#endif
