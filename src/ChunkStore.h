/// Verified weight chunks in memory, by digest.
#pragma once

#include <absl/status/status.h>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace bilberry {

using ChunkBytes = std::shared_ptr<const std::string>;

/// Bounded in bytes. Thread safe.
class ChunkStore {
public:
    explicit ChunkStore(uint64_t maxBytes)
        : maxBytes(maxBytes)
    {
    }

    /// Keeps the chunk. Errors: DataLoss when its bytes do not have that digest ("sha256:…"); OutOfRange when there is
    /// no room.
    absl::Status put(const std::string& digest, std::string bytes);
    /// The chunk, or null.
    ChunkBytes find(const std::string& digest) const;
    bool has(const std::string& digest) const;
    /// Drops every chunk whose digest is not wanted.
    void retainOnly(const std::unordered_set<std::string>& wanted);
    uint64_t heldBytes() const;

private:
    const uint64_t maxBytes;
    mutable std::mutex mutex;
    uint64_t storedBytes = 0;
    std::unordered_map<std::string, ChunkBytes> chunks;
};

} // namespace bilberry
