/// Text of HTTP heads and chunks, by the HTTP library; shared by server and client connections.
#pragma once

#include "HttpMessage.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <string>

namespace bilberry {

/// Headers as plain data, in the order in which they came. Thread safe.
HttpHeaders readFields(const boost::beast::http::fields&);
/// Adds each header to the fields. Thread safe.
void writeFields(const HttpHeaders&, boost::beast::http::fields&);

/// Head of a request or response with the empty line that ends it. Thread safe.
std::string serializeRequestHead(const boost::beast::http::request<boost::beast::http::empty_body>&);
std::string serializeResponseHead(const boost::beast::http::response<boost::beast::http::empty_body>&);

/// One chunk of a chunked body. Precondition: `data` is not empty. Thread safe.
std::string encodeChunk(const std::string& data);
/// The chunk that ends a chunked body. Thread safe.
std::string encodeLastChunk();

/// Whether the library's parse error means that a bound on the header fields or on the body was passed. Thread safe.
bool isHeaderTooLarge(const boost::system::error_code&);
bool isBodyTooLarge(const boost::system::error_code&);

} // namespace bilberry
