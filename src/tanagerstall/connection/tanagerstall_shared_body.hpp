#ifndef TANAGERSTALL_SHARED_BODY_HPP_INCLUDED
#define TANAGERSTALL_SHARED_BODY_HPP_INCLUDED

#include <memory>
#include <string>

namespace tanagerstall {

/// The body of a request. Copies share its bytes, so that a request holds them
/// once, however many attempts send it.
class SharedBody
{
public:
  SharedBody() = default;
  // Bodies are written as strings wherever a request is made.
  SharedBody(std::string aText) // NOLINT(google-explicit-constructor)
    : text_(std::make_shared<const std::string>(std::move(aText)))
  {
  }
  SharedBody(const char* aText) // NOLINT(google-explicit-constructor)
    : SharedBody(std::string(aText))
  {
  }
  explicit SharedBody(std::shared_ptr<const std::string> aText)
    : text_(std::move(aText))
  {
  }

  const std::string& Text() const
  {
    static const std::string kEmpty;
    return text_ ? *text_ : kEmpty;
  }
  operator const std::string&() const // NOLINT(google-explicit-constructor)
  {
    return Text();
  }
  // Named like those of std::string, so that callers read both alike.
  // NOLINTBEGIN(readability-identifier-naming)
  std::size_t size() const { return Text().size(); }
  bool empty() const { return Text().empty(); }
  void clear() { text_.reset(); }
  // NOLINTEND(readability-identifier-naming)

  friend bool operator==(const SharedBody& aLeft, const SharedBody& aRight)
  {
    return aLeft.Text() == aRight.Text();
  }

private:
  std::shared_ptr<const std::string> text_;
};

} // namespace tanagerstall

#endif
