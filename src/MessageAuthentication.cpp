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

static constexpr char version[] = "v1";
static constexpr size_t macBytes = 32;
// Version, time and HMAC, with a space between.
static constexpr size_t signatureParts = 3;
// Longest signature that is looked at, in characters.
static constexpr size_t maxSignatureLength = 128;
static constexpr std::array<std::string_view, 4> internalPrefixes { "/rpc", "/forward/", "/chunks/", "/manifests/" };
// Headers, besides the project's own, that change what the receiver does.
static constexpr std::array<std::string_view, 2> signedHeaders { "idempotency-key", "idempotency-key-minted" };

std::string_view toText(Authenticity authenticity)
{
    switch (authenticity) {
    case Authenticity::Accepted:
        return "accepted";
    case Authenticity::Missing:
        return "missing";
    case Authenticity::Malformed:
        return "malformed";
    case Authenticity::Expired:
        return "expired";
    case Authenticity::Wrong:
        return "wrong";
    }
    return "wrong";
}

bool isInternalPath(std::string_view path)
{
    return std::any_of(internalPrefixes.begin(), internalPrefixes.end(), [&](std::string_view prefix) { return path.substr(0, prefix.size()) == prefix; });
}

static bool isSignedHeader(const std::string& lowerCaseName)
{
    if (lowerCaseName == absl::AsciiStrToLower(signatureHeader))
        return false;
    bool isNamed = std::find(signedHeaders.begin(), signedHeaders.end(), lowerCaseName) != signedHeaders.end();
    return isNamed || absl::StartsWith(lowerCaseName, "x-bilberry-");
}

// The headers that count, in an order that does not depend on how they came.
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

static std::string textToSign(const HttpRequest& request, int64_t time)
{
    return absl::StrCat(version, "\n", request.method, "\n", request.path, "\n", time, "\n", canonicalHeaders(request.headers), sha256Hex(request.body));
}

static std::string makeMac(const std::string& key, const std::string& text)
{
    std::string mac(macBytes, '\0');
    unsigned size = macBytes;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(text.data()), text.size(), reinterpret_cast<unsigned char*>(mac.data()), &size);
    return mac;
}

static int64_t toMilliseconds(WallTime time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

void signRequest(const AuthenticationKeys& keys, HttpRequest& request, WallTime now)
{
    if (keys.signing.empty())
        return;
    auto time = toMilliseconds(now);
    auto mac = makeMac(keys.signing, textToSign(request, time));
    setHeader(request.headers, signatureHeader, absl::StrCat(version, " ", time, " ", absl::BytesToHexString(mac)));
}

static bool isMadeBy(const std::string& key, const std::string& text, const std::string& mac)
{
    return !key.empty() && CRYPTO_memcmp(makeMac(key, text).data(), mac.data(), macBytes) == 0;
}

Authenticity verifyRequest(const AuthenticationKeys& keys, const HttpRequest& request, WallTime now)
{
    if (keys.signing.empty())
        return Authenticity::Accepted;
    auto signature = findHeader(request.headers, signatureHeader);
    if (signature.empty())
        return Authenticity::Missing;
    if (signature.size() > maxSignatureLength)
        return Authenticity::Malformed;
    std::vector<std::string> parts = absl::StrSplit(signature, ' ');
    int64_t time = 0;
    if (parts.size() != signatureParts || parts[0] != version || !absl::SimpleAtoi(parts[1], &time))
        return Authenticity::Malformed;
    bool isHex = parts[2].size() == 2 * macBytes && std::all_of(parts[2].begin(), parts[2].end(), [](char c) { return absl::ascii_isxdigit(static_cast<unsigned char>(c)); });
    if (!isHex)
        return Authenticity::Malformed;
    auto lifetime = signatureLifetime.count();
    auto present = toMilliseconds(now);
    if (time < present - lifetime || time > present + lifetime)
        return Authenticity::Expired;
    auto mac = absl::HexStringToBytes(parts[2]);
    auto text = textToSign(request, time);
    bool isOurs = isMadeBy(keys.signing, text, mac) || isMadeBy(keys.accepted, text, mac);
    return isOurs ? Authenticity::Accepted : Authenticity::Wrong;
}

} // namespace bilberry
