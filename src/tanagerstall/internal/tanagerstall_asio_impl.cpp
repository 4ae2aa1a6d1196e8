// Holds the separately compiled implementation of Asio and Beast, which has to
// be compiled exactly once per program.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
