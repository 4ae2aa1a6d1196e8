#ifndef TANAGERSTALL_HTTP_MESSAGE_HPP_INCLUDED
#define TANAGERSTALL_HTTP_MESSAGE_HPP_INCLUDED

#include <string>
#include <string_view>
#include <vector>

namespace tanagerstall {

struct HttpHeader
{
  std::string name_;
  std::string value_;
};

/// The value of a header field, names compared without case; "" for none.
std::string_view
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

/// How often a field is given.
std::size_t
CountHeaders(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

/// Whether two ASCII texts are equal but for case.
bool
EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

struct HttpRequest
{
  std::string method_;
  std::string target_;
  std::vector<HttpHeader> headers_;
  std::string body_;

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
};

/// The path of a request without its query.
std::string_view
PathOf(const HttpRequest& aRequest);

/// A response with a JSON body.
HttpResponse
JsonResponse(int aStatus, std::string aBody);

} // namespace tanagerstall

#endif
