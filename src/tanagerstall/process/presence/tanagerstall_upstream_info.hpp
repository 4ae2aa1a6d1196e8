#ifndef TANAGERSTALL_UPSTREAM_INFO_HPP_INCLUDED
#define TANAGERSTALL_UPSTREAM_INFO_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace tanagerstall {

/// What an upstream announces of itself.
struct UpstreamInfo
{
  /// Unique over all services; by default its service and address.
  std::string id_;
  std::string service_;
  /// "IP:port".
  std::string address_;
  std::string failureDomain_;
  std::string region_;
  std::string instanceClass_;
  double pricePerHour_ = 0.0;
  /// Grows with every start of the upstream.
  std::uint64_t incarnation_ = 0;
  /// Grows with every announcement of one incarnation.
  std::uint64_t sequence_ = 0;
  /// How long the announcement holds without a renewal.
  std::chrono::milliseconds timeToLive_{ 3000 };
  /// Requests it can run at once.
  std::uint32_t capacity_ = 1;
  bool checksFencing_ = false;
  bool deduplicates_ = false;
  /// Whether it takes no new work; also set by a reclaim notice.
  bool isLeaving_ = false;
  /// With a reclaim notice: how soon the instance is lost.
  std::optional<std::chrono::milliseconds> reclaimIn_;
  /// Its own late report, 0 to 1; negative for none.
  double reportedLoad_ = -1.0;

  bool operator==(const UpstreamInfo&) const = default;
};

/// An upstream that may get new work, and when its announcement ends unless
/// renewed.
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

  /// Shared with the table, since snapshots are made several times a second.
  std::shared_ptr<const UpstreamInfo> info_;
  TimePoint presentUntil_;
};

} // namespace tanagerstall

#endif
