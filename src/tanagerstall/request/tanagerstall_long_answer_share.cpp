#include "tanagerstall/request/tanagerstall_long_answer_share.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerstall {

namespace {

/// The part of the reserved slots that should be in use, so that a response
/// finds one free when several begin at once.
constexpr double kSlotUse = 0.7;
/// Reserved at most, also until the demand is known.
constexpr double kMaxShare = 0.2;
/// Reserved at least: with a twentieth long responses waited for each other for
/// seconds, and the others gained little.
constexpr double kMinShare = 0.12;
/// The time in which the share follows a change of the demand.
constexpr std::chrono::duration<double> kSmoothingTime{ 2.0 };

} // namespace

void
LongAnswerShare::Update(const std::string& aService,
                        std::uint32_t aLongResponses,
                        std::uint64_t aSlots,
                        TimePoint aNow)
{
  if (aSlots == 0) {
    return;
  }
  double needed =
    std::clamp(aLongResponses / (kSlotUse * static_cast<double>(aSlots)),
               kMinShare,
               kMaxShare);
  Approach(aService, needed, aNow);
}

void
LongAnswerShare::Reset(const std::string& aService, TimePoint aNow)
{
  if (shares_.contains(aService)) {
    Approach(aService, kMaxShare, aNow);
  }
}

void
LongAnswerShare::Approach(const std::string& aService,
                          double aShare,
                          TimePoint aNow)
{
  auto [it, isNew] = shares_.try_emplace(aService, Smoothed{ kMaxShare, aNow });
  Smoothed& smoothed = it->second;
  std::chrono::duration<double> elapsed = aNow - smoothed.updatedAt_;
  smoothed.share_ +=
    (aShare - smoothed.share_) * (1.0 - std::exp(-(elapsed / kSmoothingTime)));
  smoothed.updatedAt_ = aNow;
}

double
LongAnswerShare::Of(const std::string& aService) const
{
  auto it = shares_.find(aService);
  return it == shares_.end() ? kMaxShare : it->second.share_;
}

} // namespace tanagerstall
