#define BOOST_TEST_MODULE MessageAuthentication
#include "MessageAuthentication.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace bilberry;

static const WallTime now = WallTime() + std::chrono::hours(500'000);
static const std::string oldKey = "old-key-0123456789";
static const std::string newKey = "new-key-0123456789";

static HttpRequest makeRequest()
{
    return { "POST", "/forward/v1/completions", { { "X-Bilberry-Attempt", "a-1" }, { "Idempotency-Key", "k" }, { "Accept", "x" } }, "body" };
}

BOOST_AUTO_TEST_CASE(whatIsSignedCannotBeChanged)
{
    AuthenticationKeys keys { oldKey, {} };
    struct Row {
        const char* name;
        std::function<void(HttpRequest&)> change;
        AuthenticationResult expected;
    };
    const Row rows[] = {
        { "unchanged", [](HttpRequest&) {}, AuthenticationResult::Accepted },
        { "a header that means nothing here", [](HttpRequest& request) { setHeader(request.headers, "Accept", "y"); }, AuthenticationResult::Accepted },
        { "method", [](HttpRequest& request) { request.method = "GET"; }, AuthenticationResult::Mismatch },
        { "path", [](HttpRequest& request) { request.path += "?x"; }, AuthenticationResult::Mismatch },
        { "body", [](HttpRequest& request) { request.body += "x"; }, AuthenticationResult::Mismatch },
        { "attempt", [](HttpRequest& request) { setHeader(request.headers, "X-Bilberry-Attempt", "a-2"); }, AuthenticationResult::Mismatch },
        { "key of the request", [](HttpRequest& request) { setHeader(request.headers, "idempotency-key", "l"); }, AuthenticationResult::Mismatch },
        { "added header", [](HttpRequest& request) { request.headers.emplace_back("x-bilberry-unrepeatable", "0"); }, AuthenticationResult::Mismatch },
        { "no signature", [](HttpRequest& request) { request.headers.clear(); }, AuthenticationResult::Missing },
        { "broken signature", [](HttpRequest& request) { setHeader(request.headers, signatureHeader, "v1 12"); }, AuthenticationResult::Malformed },
    };
    for (const auto& row : rows) {
        auto request = makeRequest();
        signRequest(keys, request, now);
        row.change(request);
        BOOST_TEST((verifyRequest(keys, request, now) == row.expected), row.name);
    }
}

BOOST_AUTO_TEST_CASE(signaturesExpireAndClocksMayDiffer)
{
    AuthenticationKeys keys { oldKey, {} };
    auto request = makeRequest();
    signRequest(keys, request, now);
    for (auto offset : { -signatureLifetime, Milliseconds(0), signatureLifetime })
        BOOST_TEST((verifyRequest(keys, request, now + offset) == AuthenticationResult::Accepted));
    for (auto offset : { -signatureLifetime - Milliseconds(1), signatureLifetime + Milliseconds(1) })
        BOOST_TEST((verifyRequest(keys, request, now + offset) == AuthenticationResult::Expired));
}

BOOST_AUTO_TEST_CASE(keyRotationCausesNoRejections)
{
    // A key rotation has three steps: all processes accept both keys, then sign with the new one, then stop accepting the
    // old one.
    const AuthenticationKeys steps[] = { { oldKey, {} }, { oldKey, newKey }, { newKey, oldKey }, { newKey, {} } };
    for (size_t step = 0; step + 1 < 4; ++step) {
        for (const auto& [from, to] : { std::pair(step, step + 1), std::pair(step + 1, step) }) {
            auto request = makeRequest();
            signRequest(steps[from], request, now);
            BOOST_TEST((verifyRequest(steps[to], request, now) == AuthenticationResult::Accepted), from << " to " << to);
        }
    }
    auto request = makeRequest();
    signRequest(steps[0], request, now);
    BOOST_TEST((verifyRequest(steps[3], request, now) == AuthenticationResult::Mismatch));
}

RC_BOOST_PROP(arbitraryTextIsNoValidSignature, (const std::string& text))
{
    auto request = makeRequest();
    request.headers.emplace_back(signatureHeader, text);
    RC_ASSERT(verifyRequest({ oldKey, newKey }, request, now) != AuthenticationResult::Accepted);
}
