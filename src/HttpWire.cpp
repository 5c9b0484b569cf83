#include "HttpWire.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/serializer.hpp>

namespace http = boost::beast::http;

namespace bilberry {

HttpHeaders readFields(const http::fields& fields)
{
    HttpHeaders headers;
    for (const auto& field : fields)
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return headers;
}

void writeFields(const HttpHeaders& headers, http::fields& fields)
{
    for (const auto& [name, value] : headers)
        fields.insert(name, value);
}

template <bool isRequest>
static std::string serializeHead(const http::message<isRequest, http::empty_body>& message)
{
    http::serializer<isRequest, http::empty_body> serializer(message);
    serializer.split(true);
    boost::system::error_code error;
    std::string text;
    serializer.next(error, [&](boost::system::error_code&, const auto& buffers) { text = boost::beast::buffers_to_string(buffers); });
    return text;
}

std::string serializeRequestHead(const http::request<http::empty_body>& request)
{
    return serializeHead(request);
}

std::string serializeResponseHead(const http::response<http::empty_body>& response)
{
    return serializeHead(response);
}

std::string encodeChunk(const std::string& data)
{
    return boost::beast::buffers_to_string(http::make_chunk(boost::asio::buffer(data)));
}

std::string encodeLastChunk()
{
    return boost::beast::buffers_to_string(http::make_chunk_last());
}

bool isHeaderTooLarge(const boost::system::error_code& error)
{
    return error == http::error::header_limit;
}

bool isBodyTooLarge(const boost::system::error_code& error)
{
    return error == http::error::body_limit;
}

} // namespace bilberry
