#include "JsonRpcBridge.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>
#include <map>

namespace bilberry {

namespace {

// Stores the response text in the string that dispatch() passes by pointer.
class ResponseTextConnector : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string& response, void* responseText) override
    {
        *static_cast<std::string*>(responseText) = response;
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
        return false; // The text is nested deeper than the limit.
    }
}

std::string toText(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

// Dispatches calls to the added methods by name.
class MethodServer : public jsonrpc::AbstractServer<MethodServer> {
public:
    explicit MethodServer(ResponseTextConnector& connector)
        : jsonrpc::AbstractServer<MethodServer>(connector)
    {
    }

    void addMethod(const std::string& name, JsonRpcMethod method)
    {
        this->methods[name] = std::move(method);
        // Declaring the parameter makes the library check that an object named "body" was passed.
        this->bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, "body", jsonrpc::JSON_OBJECT, NULL), &MethodServer::unusedHandler);
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
    {
        std::string resultText = this->methods[procedure.GetProcedureName()](toText(input["body"]));
        if (!parseJsonObject(resultText, output))
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, "parameters refused");
    }

    void unusedHandler(const Json::Value&, Json::Value&) { }

private:
    std::map<std::string, JsonRpcMethod> methods;
};

class TransportConnector : public jsonrpc::IClientConnector {
public:
    explicit TransportConnector(const JsonRpcTransport& usedTransport)
        : transport(usedTransport)
    {
    }

    void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override
    {
        if (!this->transport(message, result))
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "the peer could not be reached");
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
        // The library doesn't catch the exceptions of its JSON reader, for example for a text that is nested too deeply.
        response = R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"request refused"}})";
    }
    return response;
}

JsonRpcReply callJsonRpc(const std::string& method, const std::string& parameters, const JsonRpcTransport& transport)
{
    JsonRpcReply reply;
    Json::Value body;
    if (!parseJsonObject(parameters, body)) {
        reply.error = "the parameters are not a JSON object";
        return reply;
    }
    Json::Value namedParameters;
    namedParameters["body"] = body;
    TransportConnector connector(transport);
    jsonrpc::Client client(connector);
    try {
        reply.result = toText(client.CallMethod(method, namedParameters));
    } catch (const jsonrpc::JsonRpcException& exception) {
        reply.error = exception.what();
    }
    return reply;
}

} // namespace bilberry
