#include "JsonRpcBridge.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>
#include <map>

namespace bilberry {

namespace {

// Hands the response text back through the pointer that dispatch() passes along.
class ResponseTextConnector : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string& response, void* target) override
    {
        *static_cast<std::string*>(target) = response;
        return true;
    }
};

bool parseJsonObject(const std::string& text, Json::Value& value)
{
    Json::CharReaderBuilder builder;
    builder["stackLimit"] = 64;
    std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string errors;
    try {
        return reader->parse(text.data(), text.data() + text.size(), &value, &errors) && value.isObject();
    } catch (const Json::Exception&) {
        return false; // Nested deeper than the limit.
    }
}

std::string toText(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

// Routes calls by name to the methods that were added.
class MethodServer : public jsonrpc::AbstractServer<MethodServer> {
public:
    explicit MethodServer(ResponseTextConnector& connector)
        : jsonrpc::AbstractServer<MethodServer>(connector)
    {
    }

    void addMethod(const std::string& name, JsonRpcMethod method)
    {
        this->methods[name] = std::move(method);
        // The parameter makes the library check that an object was passed by name.
        this->bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, "body", jsonrpc::JSON_OBJECT, NULL), &MethodServer::unusedHandler);
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
    {
        std::string answer = this->methods[procedure.GetProcedureName()](toText(input["body"]));
        if (!parseJsonObject(answer, output))
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, "parameters refused");
    }

    void unusedHandler(const Json::Value&, Json::Value&) { }

private:
    std::map<std::string, JsonRpcMethod> methods;
};

class TransportConnector : public jsonrpc::IClientConnector {
public:
    explicit TransportConnector(const JsonRpcTransport& carrier)
        : transport(carrier)
    {
    }

    void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override
    {
        if (!this->transport(message, result))
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "peer not reached");
    }

private:
    const JsonRpcTransport& transport;
};

} // namespace

struct JsonRpcDispatcher::State {
    ResponseTextConnector connector;
    MethodServer server { connector };
};

JsonRpcDispatcher::JsonRpcDispatcher()
    : state(new State)
{
}

JsonRpcDispatcher::~JsonRpcDispatcher() = default;

void JsonRpcDispatcher::addMethod(const std::string& name, JsonRpcMethod method)
{
    this->state->server.addMethod(name, std::move(method));
}

std::string JsonRpcDispatcher::dispatch(const std::string& request) const
{
    std::string response;
    try {
        this->state->connector.OnRequest(request, &response);
    } catch (const std::exception&) {
        // The library lets faults of its own JSON reader through, such as too deep a nesting.
        response = R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"request refused"}})";
    }
    return response;
}

JsonRpcReply callJsonRpc(const std::string& method, const std::string& parameters, const JsonRpcTransport& carrier)
{
    JsonRpcReply reply;
    Json::Value body;
    if (!parseJsonObject(parameters, body)) {
        reply.error = "parameters are no JSON object";
        return reply;
    }
    Json::Value named;
    named["body"] = body;
    TransportConnector connector(carrier);
    jsonrpc::Client client(connector);
    try {
        reply.result = toText(client.CallMethod(method, named));
    } catch (const jsonrpc::JsonRpcException& exception) {
        reply.error = exception.what();
    }
    return reply;
}

} // namespace bilberry
