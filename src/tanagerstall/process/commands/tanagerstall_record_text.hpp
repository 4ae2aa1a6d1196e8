#ifndef TANAGERSTALL_RECORD_TEXT_HPP_INCLUDED
#define TANAGERSTALL_RECORD_TEXT_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <ostream>
#include <string>

namespace tanagerstall {

/// Formats JSON with one field a line. Numbers are as short as they can be
/// without losing precision.
std::string
ToIndentedText(const boost::json::value& aValue);

/// Writes the fields that differ between two canonical records, with one line
/// for the old and one for the new value. Null means that there is no record.
void
WriteDiff(std::ostream& aOut,
          const boost::json::value& aBefore,
          const boost::json::value& aAfter);

} // namespace tanagerstall

#endif
