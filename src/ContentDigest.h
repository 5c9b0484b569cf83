/// Digest of a whole weight version, computed over its chunks.
#pragma once

#include "ChunkStore.h"

#include <string>
#include <vector>

namespace bilberry {

/// SHA-256 of the concatenated chunks as 64 lower-case hex digits. Precondition: no chunk is null. Thread safe.
std::string contentSha256(const std::vector<ChunkBytes>& chunks);

} // namespace bilberry
