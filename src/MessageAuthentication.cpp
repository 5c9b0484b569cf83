#include "MessageAuthentication.h"

#include "Digest.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace bilberry {

static constexpr char signatureVersion[] = "v1";
static constexpr size_t macBytes = 32;
// A signature consists of version, time and HMAC, separated by spaces.
static constexpr size_t signaturePartCount = 3;
// Longest signature that is parsed, in characters.
static constexpr size_t maxSignatureLength = 128;
static constexpr std::array<std::string_view, 4> internalPathPrefixes { "/rpc", "/forward/", "/chunks/", "/manifests/" };
// Signed headers besides this project's own; they change what the receiver does.
static constexpr std::array<std::string_view, 2> additionalSignedHeaders { "idempotency-key", "idempotency-key-minted" };

std::string_view toText(AuthenticationResult result)
{
    switch (result) {
    case AuthenticationResult::Accepted:
        return "accepted";
    case AuthenticationResult::Missing:
        return "missing";
    case AuthenticationResult::Malformed:
        return "malformed";
    case AuthenticationResult::Expired:
        return "expired";
    case AuthenticationResult::Mismatch:
        return "wrong";
    }
    return "wrong";
}

bool isInternalPath(std::string_view path)
{
    return std::any_of(internalPathPrefixes.begin(), internalPathPrefixes.end(), [&](std::string_view prefix) { return path.substr(0, prefix.size()) == prefix; });
}

static bool isSignedHeader(const std::string& lowerCaseName)
{
    if (lowerCaseName == absl::AsciiStrToLower(signatureHeader))
        return false;
    bool isAdditional = std::find(additionalSignedHeaders.begin(), additionalSignedHeaders.end(), lowerCaseName) != additionalSignedHeaders.end();
    return isAdditional || absl::StartsWith(lowerCaseName, "x-bilberry-");
}

// Returns the signed headers in an order that doesn't depend on their order in the request.
static std::string canonicalHeaders(const HttpHeaders& headers)
{
    std::vector<std::string> lines;
    for (const auto& [name, value] : headers) {
        auto lowerCase = absl::AsciiStrToLower(name);
        if (isSignedHeader(lowerCase))
            lines.push_back(absl::StrCat(lowerCase, ":", std::string(absl::StripAsciiWhitespace(value)), "\n"));
    }
    std::sort(lines.begin(), lines.end());
    return absl::StrJoin(lines, "");
}

static std::string makeTextToSign(const HttpRequest& request, int64_t time)
{
    return absl::StrCat(signatureVersion, "\n", request.method, "\n", request.path, "\n", time, "\n", canonicalHeaders(request.headers), sha256Hex(request.body));
}

static std::string computeMac(const std::string& key, const std::string& text)
{
    std::string mac(macBytes, '\0');
    unsigned size = macBytes;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(text.data()), text.size(), reinterpret_cast<unsigned char*>(mac.data()), &size);
    return mac;
}

static int64_t toUnixMilliseconds(WallTime time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

void signRequest(const AuthenticationKeys& keys, HttpRequest& request, WallTime now)
{
    if (keys.signingKey.empty())
        return;
    auto time = toUnixMilliseconds(now);
    auto mac = computeMac(keys.signingKey, makeTextToSign(request, time));
    setHeader(request.headers, signatureHeader, absl::StrCat(signatureVersion, " ", time, " ", absl::BytesToHexString(mac)));
}

static bool isMacValid(const std::string& key, const std::string& text, const std::string& mac)
{
    return !key.empty() && CRYPTO_memcmp(computeMac(key, text).data(), mac.data(), macBytes) == 0;
}

AuthenticationResult verifyRequest(const AuthenticationKeys& keys, const HttpRequest& request, WallTime now)
{
    if (keys.signingKey.empty())
        return AuthenticationResult::Accepted;
    auto signature = findHeader(request.headers, signatureHeader);
    if (signature.empty())
        return AuthenticationResult::Missing;
    if (signature.size() > maxSignatureLength)
        return AuthenticationResult::Malformed;
    std::vector<std::string> parts = absl::StrSplit(signature, ' ');
    int64_t time = 0;
    if (parts.size() != signaturePartCount || parts[0] != signatureVersion || !absl::SimpleAtoi(parts[1], &time))
        return AuthenticationResult::Malformed;
    bool isHex = parts[2].size() == 2 * macBytes && std::all_of(parts[2].begin(), parts[2].end(), [](char c) { return absl::ascii_isxdigit(static_cast<unsigned char>(c)); });
    if (!isHex)
        return AuthenticationResult::Malformed;
    auto lifetime = signatureLifetime.count();
    auto nowMs = toUnixMilliseconds(now);
    if (time < nowMs - lifetime || time > nowMs + lifetime)
        return AuthenticationResult::Expired;
    auto mac = absl::HexStringToBytes(parts[2]);
    auto text = makeTextToSign(request, time);
    bool isValid = isMacValid(keys.signingKey, text, mac) || isMacValid(keys.additionalKey, text, mac);
    return isValid ? AuthenticationResult::Accepted : AuthenticationResult::Mismatch;
}

} // namespace bilberry
