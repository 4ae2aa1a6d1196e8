#ifndef TANAGERSTALL_HTTP_MESSAGE_HPP_INCLUDED
#define TANAGERSTALL_HTTP_MESSAGE_HPP_INCLUDED

#include "tanagerstall/connection/tanagerstall_shared_body.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace tanagerstall {

struct HttpHeader
{
  std::string name_;
  std::string value_;
};

/// Returns the value of the first header with this name, which is compared
/// ignoring case; "" if there is none.
std::string_view
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

/// Returns the number of headers with this name.
std::size_t
CountHeaders(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

/// Whether two ASCII strings are equal, ignoring case.
bool
EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

struct HttpRequest
{
  std::string method_;
  std::string target_;
  std::vector<HttpHeader> headers_;
  SharedBody body_;

  std::string_view Header(std::string_view aName) const
  {
    return FindHeader(headers_, aName);
  }
};

struct HttpResponse
{
  int status_ = 200;
  std::vector<HttpHeader> headers_;
  std::string body_;

  std::string_view Header(std::string_view aName) const
  {
    return FindHeader(headers_, aName);
  }
  /// Whether another response to the same request follows.
  bool IsInterim() const { return status_ < 200; }
};

/// Returns the path of a request's target, without its query.
std::string_view
PathOf(const HttpRequest& aRequest);

/// A response with a JSON body.
HttpResponse
JsonResponse(int aStatus, std::string aBody);

} // namespace tanagerstall

#endif
