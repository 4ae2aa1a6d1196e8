# Compiler settings shared by every target.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE Release CACHE STRING "" FORCE)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

set(CMAKE_CXX_FLAGS_RELEASE "-O2 -DNDEBUG")

# Enables the project's warnings for one target, as errors. Two of them are off
# because GCC 12 reports false maybe-uninitialized and restrict warnings inside
# KJ and libstdc++ at -O2. -Wnon-virtual-dtor is not used because KJ's servers
# and error handlers have no virtual destructor by design.
function(tanagerstall_enable_warnings aTarget)
  target_compile_options(
    ${aTarget} PRIVATE -Wall -Wextra -Wshadow -Wno-maybe-uninitialized
                       -Wno-restrict -Werror)
endfunction()
