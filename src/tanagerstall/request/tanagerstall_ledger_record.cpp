#include "tanagerstall/request/tanagerstall_ledger_record.hpp"

namespace tanagerstall {

const char*
ToString(RequestState aState)
{
  switch (aState) {
    case RequestState::Absent:
      return "absent";
    case RequestState::Accepted:
      return "accepted";
    case RequestState::Granted:
      return "granted";
    case RequestState::Answered:
      return "answered";
    case RequestState::Unknown:
      return "unknown";
    case RequestState::Withdrawn:
      return "withdrawn";
  }
  return "absent";
}

bool
LedgerRequest::IsSameAs(const LedgerRequest& aOther) const
{
  return bodyHash_ == aOther.bodyHash_ && service_ == aOther.service_ &&
         method_ == aOther.method_ && target_ == aOther.target_;
}

} // namespace tanagerstall
