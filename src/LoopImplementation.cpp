/// The I/O library's own code, compiled once for all that use it.

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
