#include "tanagerstall/internal/tanagerstall_logged_tasks.hpp"

namespace tanagerstall {

LoggedTasks::LoggedTasks(Severity aSeverity, const char* aEvent)
  : severity_(aSeverity)
  , event_(aEvent)
  , tasks_(*this)
{
}

void
LoggedTasks::Add(kj::Promise<void>&& aTask)
{
  tasks_.add(kj::mv(aTask));
}

void
LoggedTasks::taskFailed(kj::Exception&& aError)
{
  LogEvent(severity_, event_, { { "error", aError.getDescription().cStr() } });
}

} // namespace tanagerstall
