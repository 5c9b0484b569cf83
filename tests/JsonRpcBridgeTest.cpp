#define BOOST_TEST_MODULE JsonRpcBridge
#include "JsonRpcBridge.h"

#include <boost/test/unit_test.hpp>

using namespace bilberry;

static JsonRpcReply callThrough(const JsonRpcDispatcher& dispatcher, const std::string& method, const std::string& parameters)
{
    return callJsonRpc(method, parameters, [&](const std::string& request, std::string& response) {
        response = dispatcher.dispatch(request);
        return true;
    });
}

BOOST_AUTO_TEST_CASE(callsReachTheirMethodAndFaultsAreErrors)
{
    JsonRpcDispatcher dispatcher;
    dispatcher.addMethod("echo", [](const std::string& parameters) { return parameters; });
    dispatcher.addMethod("refuse", [](const std::string&) { return std::string(); });
    BOOST_TEST(callThrough(dispatcher, "echo", R"({"a":1})").result == R"({"a":1})");
    BOOST_TEST(!callThrough(dispatcher, "refuse", "{}").error.empty());
    BOOST_TEST(!callThrough(dispatcher, "absent", "{}").error.empty());
    BOOST_TEST(!callThrough(dispatcher, "echo", "[1]").error.empty());
    auto unreachable = callJsonRpc("echo", "{}", [](const std::string&, std::string&) { return false; });
    BOOST_TEST(!unreachable.error.empty());
}

BOOST_AUTO_TEST_CASE(malformedRequestsGetAnErrorResponse)
{
    JsonRpcDispatcher dispatcher;
    dispatcher.addMethod("echo", [](const std::string& parameters) { return parameters; });
    for (const auto& text : { std::string(), std::string("{"), std::string("null"), std::string("[]"), std::string(5000, '['), std::string(R"({"jsonrpc":"2.0","id":1,"method":"echo","params":[]})") })
        BOOST_TEST(dispatcher.dispatch(text).find("error") != std::string::npos, text.substr(0, 40));
}
