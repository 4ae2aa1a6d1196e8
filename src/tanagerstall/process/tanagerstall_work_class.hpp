#ifndef TANAGERSTALL_WORK_CLASS_HPP_INCLUDED
#define TANAGERSTALL_WORK_CLASS_HPP_INCLUDED

#include <cstddef>

namespace tanagerstall {

/// The class of a request: a completion with an expected short or long answer,
/// or a plain call.
enum class WorkClass
{
  Short,
  Long,
  Plain
};

constexpr std::size_t kWorkClasses = 3;

} // namespace tanagerstall

#endif
