/// Serialization of HTTP heads and chunks with Boost.Beast, shared by server and client connections.
#pragma once

#include "HttpMessage.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <string>

namespace bilberry {

/// Converts the library's header fields to plain data and keeps their order. Thread safe.
HttpHeaders readFields(const boost::beast::http::fields&);
/// Adds each header to the library's fields. Thread safe.
void writeFields(const HttpHeaders&, boost::beast::http::fields&);

/// Serializes the head of a request or response, including the empty line that ends it. Thread safe.
std::string serializeRequestHead(const boost::beast::http::request<boost::beast::http::empty_body>&);
std::string serializeResponseHead(const boost::beast::http::response<boost::beast::http::empty_body>&);

/// Encodes `data` as one chunk of a chunked body. Precondition: `data` is not empty. Thread safe.
std::string encodeChunk(const std::string& data);
/// Returns the chunk that ends a chunked body. Thread safe.
std::string encodeLastChunk();

/// Whether the library's parse error means that the limit on the header or on the body was exceeded. Thread safe.
bool isHeaderTooLarge(const boost::system::error_code&);
bool isBodyTooLarge(const boost::system::error_code&);

} // namespace bilberry
