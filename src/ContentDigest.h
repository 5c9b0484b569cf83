/// Digest of a whole version, chunk by chunk.
#pragma once

#include "ChunkStore.h"

#include <string>
#include <vector>

namespace bilberry {

/// SHA-256 of all chunks one after the other, 64 hex digits. Precondition: none is null. Thread safe.
std::string contentSha256(const std::vector<ChunkBytes>& chunks);

} // namespace bilberry
