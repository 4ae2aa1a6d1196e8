#include "tanagerstall/request/tanagerstall_named_rate_table.hpp"

namespace tanagerstall {

namespace {

/// How long a limit is kept that no entry reports any more.
constexpr Duration kUnreportedTime = std::chrono::seconds(15);

} // namespace

NamedRateTable::NamedRateTable(std::uint64_t aFirstRevision)
  : revision_(aFirstRevision)
{
}

void
NamedRateTable::Record(const NamedRates& aRates, TimePoint aNow)
{
  for (const auto& rate : aRates) {
    auto [it, isNew] = rates_.try_emplace(rate.replica_);
    Known& known = it->second;
    TimePoint learntAt = aNow - rate.age_;
    if (isNew || IsNews(rate, learntAt, known)) {
      known = { rate.startTimeMs_, rate.perSecond_, learntAt, aNow };
      ++revision_;
    } else if (rate.startTimeMs_ == known.startTimeMs_ &&
               rate.perSecond_ == known.perSecond_) {
      known.reportedAt_ = aNow;
    }
  }
}

void
NamedRateTable::Update(TimePoint aNow)
{
  std::size_t forgotten = std::erase_if(rates_, [&](const auto& aIt) {
    return aNow - aIt.second.reportedAt_ > kUnreportedTime;
  });
  revision_ += forgotten > 0 ? 1 : 0;
}

NamedRates
NamedRateTable::Rates(TimePoint aNow) const
{
  NamedRates rates;
  for (const auto& [replica, known] : rates_) {
    auto age = ToMilliseconds(aNow - known.learntAt_);
    rates.push_back({ replica, known.startTimeMs_, known.perSecond_, age });
  }
  return rates;
}

} // namespace tanagerstall
