#include "Digest.h"

#include <array>
#include <openssl/evp.h>

namespace bilberry {

std::string sha256Hex(std::string_view bytes)
{
    static constexpr char hexDigits[] = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
    unsigned size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string hex;
    hex.reserve(static_cast<size_t>(size) * 2);
    for (unsigned i = 0; i < size; ++i) {
        hex += hexDigits[digest[i] >> 4];
        hex += hexDigits[digest[i] & 15];
    }
    return hex;
}

} // namespace bilberry
