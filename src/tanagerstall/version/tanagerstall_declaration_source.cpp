#include "tanagerstall/version/tanagerstall_declaration_source.hpp"

namespace tanagerstall {

namespace {

/// A better source hears of a change within a few rounds of the log.
constexpr Duration kBetterSourceWait = std::chrono::milliseconds(250);
/// Another source is asked where one hasn't answered: a megabyte over a narrow
/// link takes most of this.
constexpr Duration kPatience = std::chrono::milliseconds(1200);

/// How much worse than the best a source is.
int
DrawbacksOf(const DeclarationNews& aNews)
{
  return (aNews.isInOwnRegion_ ? 0 : 1) + (aNews.isLeader_ ? 1 : 0);
}

} // namespace

void
DeclarationSource::Hear(const std::string& aControl,
                        const DeclarationNews& aNews,
                        TimePoint aNow)
{
  news_[aControl] = aNews;
  if (aNews.number_ > newest_) {
    newest_ = aNews.number_;
    newestSince_ = aNow;
  }
}

bool
DeclarationSource::AsksFrom(const std::string& aControl,
                            std::uint64_t aHeld,
                            TimePoint aNow)
{
  auto it = news_.find(aControl);
  if (it == news_.end() || it->second.number_ <= aHeld) {
    return false;
  }
  bool isAsked = asked_ > aHeld && aNow < askedAt_ + kPatience;
  auto wait = DrawbacksOf(it->second) * kBetterSourceWait;
  if (isAsked || aNow < newestSince_ + wait) {
    return false;
  }
  asked_ = it->second.number_;
  askedAt_ = aNow;
  return true;
}

} // namespace tanagerstall
