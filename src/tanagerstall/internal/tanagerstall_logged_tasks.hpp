#ifndef TANAGERSTALL_LOGGED_TASKS_HPP_INCLUDED
#define TANAGERSTALL_LOGGED_TASKS_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_log.hpp"

#include <kj/async.h>

namespace tanagerstall {

/// Tasks of a control thread. One that fails is logged as an event and
/// forgotten; those that are left are cancelled with their owner.
class LoggedTasks : private kj::TaskSet::ErrorHandler
{
public:
  LoggedTasks(Severity aSeverity, const char* aEvent);

  void Add(kj::Promise<void>&& aTask);

private:
  void taskFailed(kj::Exception&& aError) override;

  Severity severity_;
  const char* event_;
  kj::TaskSet tasks_;
};

} // namespace tanagerstall

#endif
