/// SHA-256 digests as lower-case hexadecimal text.
#pragma once

#include <string>
#include <string_view>

namespace bilberry {

/// SHA-256 of the bytes as 64 lower-case hex digits. Thread safe.
std::string sha256Hex(std::string_view bytes);

} // namespace bilberry
