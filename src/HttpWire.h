/// Heads, chunks and bodies of HTTP messages with Boost.Beast, shared by server and client connections.
#pragma once

#include "HttpMessage.h"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <string>

namespace bilberry {

/// Body of a message that is being received. Its memory grows with the bytes that arrive: unlike the library's string body, it
/// reserves nothing for the length that the sender states. It implements the library's Body concept.
struct ReceivedBody {
    using value_type = std::string; // NOLINT(readability-identifier-naming): name required by the library.

    /// Used by one thread at a time.
    class reader { // NOLINT(readability-identifier-naming): name required by the library.
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& bytes)
            : bytes(bytes)
        {
        }

        void init(const boost::optional<uint64_t>& /*statedLength*/, boost::system::error_code& error) { error = {}; }

        template <typename Buffers>
        size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            error = {};
            size_t size = this->bytes.size();
            for (auto buffer : boost::beast::buffers_range_ref(buffers))
                this->bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
            return this->bytes.size() - size;
        }

        void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& bytes;
    };
};

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
