/// SHA-256 digests as lower-case hex.
#pragma once

#include <string>
#include <string_view>

namespace bilberry {

/// SHA-256 of the bytes, 64 hex digits. Thread safe.
std::string sha256Hex(std::string_view bytes);

} // namespace bilberry
