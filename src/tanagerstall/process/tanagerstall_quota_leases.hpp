#ifndef TANAGERSTALL_QUOTA_LEASES_HPP_INCLUDED
#define TANAGERSTALL_QUOTA_LEASES_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerstall {

/// How long control counts a share as granted.
constexpr Duration kQuotaLease = std::chrono::seconds(3);
/// How long an entry uses a share, from the time of its request. It is shorter
/// than `kQuotaLease`, so that the rates of clocks may differ by a tenth.
constexpr Duration kQuotaUseTime = std::chrono::milliseconds(2700);

/// An entry's request for a share of an organisation's limit.
struct ShareRequest
{
  /// The incarnation of the entry, such as "entry-1#1700000000000".
  std::string holder_;
  std::string organisation_;
  /// The organisation's limit over all entries.
  std::uint32_t limit_ = 0;
  /// The number of requests that the entry runs or would run now.
  std::uint32_t wanted_ = 0;
  /// The number of requests that it runs, whose part of the share it cannot
  /// return.
  std::uint32_t inUse_ = 0;
};

/// Grants entries shares of organisations' limits. The leader of the
/// configuration group keeps it in memory. A state machine without I/O.
class QuotaLeases
{
public:
  /// Starts to grant shares, but only once all shares that an earlier leader
  /// may have granted have expired.
  void StartLeading(TimePoint aNow);
  void StopLeading();
  /// Grants or renews a share and returns its size. Returns nothing if this
  /// member may not grant shares yet; the entry then has to ask again later.
  std::optional<std::uint32_t> Lease(const ShareRequest& aRequest,
                                     TimePoint aNow);

private:
  struct Grant
  {
    std::uint32_t share_ = 0;
    TimePoint expiresAt_;
  };

  struct Holder
  {
    std::uint32_t wanted_ = 0;
    /// The unexpired grants. The entry may use any of them, since the answer
    /// that lowered its share may have been lost.
    std::vector<Grant> grants_;
  };

  using Holders = std::map<std::string, Holder>;

  static void DropExpired(Holders& aHolders, TimePoint aNow);
  /// The share to count as used by the holder.
  static std::uint32_t LargestGrant(const Holder& aHolder);

  bool isLeading_ = false;
  TimePoint grantsFrom_ = TimePoint::max();
  std::map<std::string, Holders> organisations_;
};

/// Admits an entry's requests within the shares that control granted it.
class QuotaShares
{
public:
  /// Admits one more request of an organisation if its share permits it. A
  /// limit of 0 means no limit. Call Finish() when an admitted request ends.
  bool Admit(const std::string& aOrganisation,
             std::uint32_t aLimit,
             TimePoint aNow);
  void Finish(const std::string& aOrganisation);
  /// Returns the share requests to send to control, one for every organisation
  /// with recent requests.
  std::vector<ShareRequest> Requests(const std::string& aHolder,
                                     TimePoint aNow);
  /// Applies a share that was requested at `aRequestedAt`. A share that was
  /// requested no later than the last applied one is ignored.
  void ApplyShare(const std::string& aOrganisation,
                  std::uint32_t aShare,
                  TimePoint aRequestedAt);

private:
  struct Organisation
  {
    std::uint32_t limit_ = 0;
    std::uint32_t running_ = 0;
    /// The most requests wanted at once since the last share request.
    std::uint32_t peak_ = 0;
    std::uint32_t share_ = 0;
    TimePoint requestedAt_ = TimePoint::min();
    TimePoint lastWantedAt_;
  };

  static bool HasValidShare(const Organisation& aOrganisation, TimePoint aNow);

  std::map<std::string, Organisation> organisations_;
};

} // namespace tanagerstall

#endif
