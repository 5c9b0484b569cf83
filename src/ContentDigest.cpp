#include "ContentDigest.h"

#include <array>
#include <fmt/format.h>
#include <memory>
#include <openssl/evp.h>

namespace bilberry {

std::string contentSha256(const std::vector<ChunkBytes>& chunks)
{
    std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX*)> context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const auto& chunk : chunks)
        EVP_DigestUpdate(context.get(), chunk->data(), chunk->size());
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
    unsigned size = 0;
    EVP_DigestFinal_ex(context.get(), digest.data(), &size);
    std::string hex;
    for (unsigned i = 0; i < size; ++i)
        hex += fmt::format("{:02x}", digest[i]);
    return hex;
}

} // namespace bilberry
