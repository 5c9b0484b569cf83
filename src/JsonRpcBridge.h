/// The one door to libjsonrpccpp: JSON-RPC 2.0 framing over texts that the caller carries.
/// Its headers need C++14, so nothing of it, of absl or of this project's C++17 headers passes this line.
#pragma once

#include <functional>
#include <memory>
#include <string>

namespace bilberry {

/// Handles one call: takes the parameters and gives the result, both JSON objects as text.
/// An empty answer means that the method refused the parameters.
using JsonRpcMethod = std::function<std::string(const std::string& parameters)>;

/// Frames and dispatches calls on the server side.
class JsonRpcDispatcher {
public:
    JsonRpcDispatcher();
    ~JsonRpcDispatcher();
    JsonRpcDispatcher(const JsonRpcDispatcher&) = delete;
    JsonRpcDispatcher& operator=(const JsonRpcDispatcher&) = delete;

    /// Adds a method. Precondition: no call is being dispatched yet; the name is new.
    void addMethod(const std::string& name, JsonRpcMethod);

    /// Answers one request text with one response text. Thread safe once the methods are added.
    std::string dispatch(const std::string& request) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

/// One call's outcome on the client side: `error` is empty on success.
struct JsonRpcReply {
    std::string result;
    std::string error;
};

/// Carries one request text to the peer and fills the response text; false when the peer was not reached.
using JsonRpcTransport = std::function<bool(const std::string& request, std::string& response)>;

/// Calls `method` with `parameters` (a JSON object as text) through `carrier`. Thread safe.
JsonRpcReply callJsonRpc(const std::string& method, const std::string& parameters, const JsonRpcTransport& carrier);

} // namespace bilberry
