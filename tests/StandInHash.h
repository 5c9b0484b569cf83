/// SHA-256 as lower-case hexadecimal text.
#pragma once

#include <array>
#include <fmt/ranges.h>
#include <memory>
#include <openssl/evp.h>
#include <string>
#include <string_view>

namespace bilberry::standin {

/// SHA-256 over bytes that arrive in pieces. Not thread safe.
class Sha256 {
public:
    Sha256()
        : context(EVP_MD_CTX_new(), &EVP_MD_CTX_free)
    {
        EVP_DigestInit_ex(this->context.get(), EVP_sha256(), nullptr);
    }

    /// Adds bytes. Precondition: hex() was not called yet.
    void update(std::string_view bytes) { EVP_DigestUpdate(this->context.get(), bytes.data(), bytes.size()); }

    /// Ends the computation and gives the digest. Precondition: called once.
    std::string hex()
    {
        std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
        unsigned length = 0;
        EVP_DigestFinal_ex(this->context.get(), digest.data(), &length);
        return fmt::format("{:02x}", fmt::join(digest.begin(), digest.begin() + length, ""));
    }

private:
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context;
};

/// The digest of a whole text. Thread safe.
inline std::string sha256Hex(std::string_view bytes)
{
    Sha256 hash;
    hash.update(bytes);
    return hash.hex();
}

/// Prefix of each word that an engine stand-in answers to the prompt. Thread safe.
inline std::string promptHash(std::string_view prompt)
{
    return sha256Hex(prompt).substr(0, 8);
}

} // namespace bilberry::standin
