/// Wrapper around libjsonrpccpp for JSON-RPC 2.0 framing; the user supplies the transport of the texts.
/// The library's headers need C++14. For that reason this header includes neither them nor absl nor this project's C++17
/// headers, and no other file uses the library.
#pragma once

#include <functional>
#include <memory>
#include <string>

namespace bilberry {

/// Handles one call: takes the parameters and returns the result, both JSON objects as text.
/// An empty result means that the method rejected the parameters.
using JsonRpcMethod = std::function<std::string(const std::string& parameters)>;

/// Decodes requests, calls their methods and encodes the responses on the server side.
class JsonRpcDispatcher {
public:
    JsonRpcDispatcher();
    ~JsonRpcDispatcher();
    JsonRpcDispatcher(const JsonRpcDispatcher&) = delete;
    JsonRpcDispatcher& operator=(const JsonRpcDispatcher&) = delete;

    /// Adds a method. Preconditions: dispatch() was not called yet; the name is new.
    void addMethod(const std::string& name, JsonRpcMethod);

    /// Handles one request text and returns the response text, which holds an error if the request is malformed or its method
    /// is unknown. Thread safe once the methods are added.
    std::string dispatch(const std::string& request) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

/// Outcome of one call on the client side; `error` is empty on success.
struct JsonRpcReply {
    std::string result;
    std::string error;
};

/// Sends one request text to the peer and sets the response text; returns false if the peer was not reached.
using JsonRpcTransport = std::function<bool(const std::string& request, std::string& response)>;

/// Calls `method` with `parameters` (a JSON object as text) through `transport`. Thread safe.
JsonRpcReply callJsonRpc(const std::string& method, const std::string& parameters, const JsonRpcTransport& transport);

} // namespace bilberry
