#ifndef TANAGERSTALL_RECORD_ERROR_HPP_INCLUDED
#define TANAGERSTALL_RECORD_ERROR_HPP_INCLUDED

#include <string>

namespace tanagerstall {

/// Why a record was refused. Record or field is empty if the error applies to
/// no particular one; the message completes a sentence about the field.
struct RecordError
{
  std::string record_;
  std::string field_;
  std::string message_;
};

} // namespace tanagerstall

#endif
