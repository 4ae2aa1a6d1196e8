#ifndef TANAGERSTALL_SINGLE_FLIGHT_HPP_INCLUDED
#define TANAGERSTALL_SINGLE_FLIGHT_HPP_INCLUDED

#include <map>
#include <string>

namespace tanagerstall {

/// Keeps one call to each receiver in flight: a call that is wanted meanwhile
/// is made once when the current one ends, however often it was wanted.
class SingleFlight
{
public:
  /// Returns whether to make the call now.
  bool Start(const std::string& aReceiver)
  {
    auto [it, isFirst] = inFlight_.try_emplace(aReceiver, false);
    it->second = !isFirst;
    return isFirst;
  }

  /// Call it when a call has ended. Returns whether another one was wanted.
  bool Finish(const std::string& aReceiver)
  {
    auto ended = inFlight_.extract(aReceiver);
    return !ended.empty() && ended.mapped();
  }

private:
  /// Receivers of calls in flight, and whether another call is wanted.
  std::map<std::string, bool> inFlight_;
};

} // namespace tanagerstall

#endif
