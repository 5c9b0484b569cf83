/// Authentication of requests between the system's processes by an HMAC-SHA-256 with a key that all of them share.
#pragma once

#include "HttpMessage.h"
#include "Types.h"

#include <string>
#include <vector>

namespace bilberry {

/// The keys in use. Without a signing key, requests are not signed and all are accepted.
struct AuthenticationKeys {
    std::string signingKey; ///< Key that signs the requests that this process sends; it is accepted, too.
    std::string additionalKey; ///< Key that is accepted besides while keys are rotated; may be empty.
};

/// Result of checking the signature of one request.
enum class AuthenticationResult : uint8_t {
    Accepted,
    Missing, ///< The request carries no signature.
    Malformed,
    Expired, ///< The signature's time differs too much from this machine's clock.
    Mismatch, ///< No accepted key produces this signature.
};

/// Name of the result for metrics. Thread safe.
std::string_view toText(AuthenticationResult);

/// Shortest key that the settings may hold, in characters.
constexpr size_t minKeyLength = 16;
/// A signature is valid for this long before and after its timestamp, since the clocks of VMs may differ by this much.
constexpr Milliseconds signatureLifetime { 60'000 };
constexpr char signatureHeader[] = "X-Bilberry-Signature";

/// Whether only the system's processes may request a path. Thread safe.
bool isInternalPath(std::string_view path);

/// Adds a signature over the method, the path, the time, the signed headers (this project's own and those for idempotency)
/// and the digest of the body. Does nothing without a signing key. Thread safe.
void signRequest(const AuthenticationKeys&, HttpRequest&, WallTime now);

/// Checks the signature of a request. Returns Accepted for all requests if there is no signing key. Thread safe.
AuthenticationResult verifyRequest(const AuthenticationKeys&, const HttpRequest&, WallTime now);

} // namespace bilberry
