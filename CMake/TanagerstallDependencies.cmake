# Debian packages provide the libraries; tools/scripts/install.sh installs them.
set(Boost_NO_WARN_NEW_VERSIONS ON)
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS context json log program_options)
find_package(OpenSSL REQUIRED)
find_package(TBB REQUIRED)
if(TANAGERSTALL_BUILD_TESTS)
  find_package(Boost 1.81 REQUIRED COMPONENTS unit_test_framework)
  find_package(rapidcheck REQUIRED)
endif()

add_library(tanagerstall_dependencies INTERFACE)
target_compile_definitions(
  tanagerstall_dependencies
  INTERFACE BOOST_LOG_DYN_LINK BOOST_ALL_NO_LIB
            BOOST_ASIO_DISABLE_BOOST_COROUTINE BOOST_ASIO_SEPARATE_COMPILATION
            BOOST_BEAST_SEPARATE_COMPILATION)
target_link_libraries(
  tanagerstall_dependencies
  INTERFACE Threads::Threads Boost::context Boost::json Boost::log
            Boost::program_options TBB::tbb capnp-rpc capnp kj-async kj xxhash zstd OpenSSL::Crypto)
