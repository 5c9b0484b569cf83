/// The HTTP library, included with the definition that the packaged shared library was built with:
/// without it some of the library's types have another size here than there.
#pragma once

#ifndef CPPHTTPLIB_OPENSSL_SUPPORT
#define CPPHTTPLIB_OPENSSL_SUPPORT
#endif
#include <httplib.h>
