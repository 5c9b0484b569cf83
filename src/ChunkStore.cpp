#include "ChunkStore.h"

#include "Digest.h"

namespace bilberry {

absl::Status ChunkStore::put(const std::string& digest, std::string content)
{
    if ("sha256:" + sha256Hex(content) != digest)
        return absl::DataLossError("the bytes of the chunk do not match its digest");
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->chunks.count(digest))
        return absl::OkStatus();
    if (this->storedBytes + content.size() > this->maxBytes)
        return absl::OutOfRangeError("the chunk does not fit: the store would exceed its size limit");
    this->storedBytes += content.size();
    this->chunks.emplace(digest, std::make_shared<const std::string>(std::move(content)));
    return absl::OkStatus();
}

ChunkBytes ChunkStore::find(const std::string& digest) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->chunks.find(digest);
    return found == this->chunks.end() ? nullptr : found->second;
}

bool ChunkStore::has(const std::string& digest) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->chunks.count(digest) > 0;
}

void ChunkStore::retainOnly(const std::unordered_set<std::string>& wanted)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    for (auto position = this->chunks.begin(); position != this->chunks.end();) {
        if (wanted.count(position->first)) {
            ++position;
            continue;
        }
        this->storedBytes -= position->second->size();
        position = this->chunks.erase(position);
    }
}

uint64_t ChunkStore::heldBytes() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->storedBytes;
}

} // namespace bilberry
