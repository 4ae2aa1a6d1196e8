#ifndef TANAGERSTALL_QUOTA_LEASES_HPP_INCLUDED
#define TANAGERSTALL_QUOTA_LEASES_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerstall {

/// How long control counts a share as given out.
constexpr Duration kQuotaLease = std::chrono::seconds(3);
/// How long an entry uses a share, from the moment that it asked. It is
/// shorter, so that clocks may differ in rate by a tenth.
constexpr Duration kQuotaUseTime = std::chrono::milliseconds(2700);

/// What an entry asks of an organisation's limit.
struct ShareRequest
{
  /// The run of the entry, such as "entry-1#1700000000000".
  std::string holder_;
  std::string organisation_;
  /// The organisation's limit over all entries.
  std::uint32_t limit_ = 0;
  /// Requests that the entry runs or would run now.
  std::uint32_t wanted_ = 0;
  /// Requests that it runs, which it can't give back.
  std::uint32_t inUse_ = 0;
};

/// Gives out shares of organisations' limits to entries. Lives with the leader
/// of the configuration group, in memory. A plain state machine.
class QuotaLeases
{
public:
  /// A new leader gives out nothing until the shares that an earlier one gave
  /// have run out.
  void StartLeading(TimePoint aNow);
  void StopLeading();
  /// Gives or renews a share; nothing while the entry has to ask again later.
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
    /// Any of these may be in use, since the answer that lowered a share may
    /// have been lost.
    std::vector<Grant> grants_;
  };

  using Holders = std::map<std::string, Holder>;

  static void DropExpired(Holders& aHolders, TimePoint aNow);
  static std::uint32_t LargestGrant(const Holder& aHolder);

  bool isLeading_ = false;
  TimePoint grantsFrom_ = TimePoint::max();
  std::map<std::string, Holders> organisations_;
};

/// An entry's side: admits requests within the shares that it holds.
class QuotaShares
{
public:
  /// Whether one more request of the organisation may run. With a limit of 0
  /// there is none. Each admitted request has to be ended by Finish().
  bool Admit(const std::string& aOrganisation,
             std::uint32_t aLimit,
             TimePoint aNow);
  void Finish(const std::string& aOrganisation);
  /// What to ask control for, for every organisation with recent requests.
  std::vector<ShareRequest> Requests(const std::string& aHolder,
                                     TimePoint aNow);
  /// Takes in a share that was asked for at `aRequestedAt`; an answer to an
  /// earlier question than the last is passed over.
  void ApplyShare(const std::string& aOrganisation,
                  std::uint32_t aShare,
                  TimePoint aRequestedAt);

private:
  struct Organisation
  {
    std::uint32_t limit_ = 0;
    std::uint32_t running_ = 0;
    /// The most that was wanted at once since the last question.
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
