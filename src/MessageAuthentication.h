/// Proof that a request came from a process of the system: an HMAC under a key that all of them share.
#pragma once

#include "HttpMessage.h"
#include "Types.h"

#include <string>
#include <vector>

namespace bilberry {

/// The keys in force. No key: nothing is signed and everything passes.
struct AuthenticationKeys {
    std::string signingKey; ///< Signs what this process sends, and is accepted.
    std::string additionalKey; ///< Accepted besides, while keys are being changed; may be empty.
};

/// What came of checking one request.
enum class AuthenticationResult : uint8_t {
    Accepted,
    Missing, ///< It carries no signature.
    Malformed,
    Expired, ///< Its time is too far from this machine's.
    Mismatch, ///< No accepted key made it.
};

/// Names for metrics. Thread safe.
std::string_view toText(AuthenticationResult);

/// Shortest key that is accepted, in characters.
constexpr size_t minKeyLength = 16;
/// A signature is taken so long before and after its time: the clocks of VMs may differ by so much.
constexpr Milliseconds signatureLifetime { 60'000 };
constexpr char signatureHeader[] = "X-Bilberry-Signature";

/// Whether a path is only for processes of the system. Thread safe.
bool isInternalPath(std::string_view path);

/// Adds the signature over method, path, time, the project's own headers and the digest of the body. No effect without
/// a signing key. Thread safe.
void signRequest(const AuthenticationKeys&, HttpRequest&, WallTime now);

/// Checks the signature; always Accepted without keys. Thread safe.
AuthenticationResult verifyRequest(const AuthenticationKeys&, const HttpRequest&, WallTime now);

} // namespace bilberry
