/// Holds verified weight chunks in memory, by digest.
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

/// A chunk store whose size is limited in bytes. Thread safe.
class ChunkStore {
public:
    /// `maxBytes` is the limit of the total size of all chunks.
    explicit ChunkStore(uint64_t maxBytes)
        : maxBytes(maxBytes)
    {
    }

    /// Stores the chunk; does nothing when the store has it already. Errors: DataLoss when the bytes don't have that digest
    /// ("sha256:…"); OutOfRange when the chunk would exceed the size limit.
    absl::Status put(const std::string& digest, std::string bytes);
    /// Returns the chunk, or null when the store doesn't have it.
    ChunkBytes find(const std::string& digest) const;
    bool has(const std::string& digest) const;
    /// Removes every chunk whose digest is not in `wanted`.
    void retainOnly(const std::unordered_set<std::string>& wanted);
    /// Total size of all chunks.
    uint64_t heldBytes() const;

private:
    const uint64_t maxBytes;
    mutable std::mutex mutex;
    uint64_t storedBytes = 0;
    std::unordered_map<std::string, ChunkBytes> chunks;
};

} // namespace bilberry
