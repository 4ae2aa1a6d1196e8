#ifndef TANAGERSTALL_RECORD_API_HPP_INCLUDED
#define TANAGERSTALL_RECORD_API_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_operator_api.hpp"

namespace tanagerstall {

/// The operators' HTTP interface to configuration records.
///
///   POST /v1/records                 applies or checks changes
///   GET  /v1/records                 lists the records
///   GET  /v1/records/KIND/NAME       returns one record
///   GET  /v1/history/KIND/NAME       lists the versions of one record
///
/// GET requests accept "?schema=1" or "?schema=2"; the default is 2.
class RecordApi
{
public:
  explicit RecordApi(OperatorHooks aHooks);

  std::optional<HttpResponse> Handle(HttpExchange& aExchange) const;

private:
  HttpResponse Apply(HttpExchange& aExchange) const;
  HttpResponse List(HttpExchange& aExchange,
                    Bytes aQuery,
                    bool aMustExist) const;

  OperatorHooks hooks_;
};

} // namespace tanagerstall

#endif
