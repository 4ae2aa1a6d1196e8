#ifndef TANAGERSTALL_LOGGED_TASKS_HPP_INCLUDED
#define TANAGERSTALL_LOGGED_TASKS_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_log.hpp"

#include <kj/async.h>

namespace tanagerstall {

/// Background tasks of a control thread. A task that fails is logged with the
/// given event; the destructor cancels the remaining tasks.
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
