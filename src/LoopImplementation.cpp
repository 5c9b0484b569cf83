/// Compiles the sources of Boost.Asio and Boost.Beast once for all files that use their headers.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
