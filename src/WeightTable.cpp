#include "WeightTable.h"

#include <algorithm>

namespace bilberry {

// How often the weight store is asked for the version of a tag.
static constexpr Milliseconds resolveInterval { 500 };
// The additional time that each rank waits before it takes over from the ranks before it.
static constexpr Milliseconds resolveTakeoverDelay { 2000 };

const WeightRow* findWeightRow(const std::vector<WeightRow>& rows, const std::string& model)
{
    auto found = std::find_if(rows.begin(), rows.end(), [&](const WeightRow& row) { return row.model == model; });
    return found == rows.end() ? nullptr : &*found;
}

WeightRow* findWeightRow(std::vector<WeightRow>& rows, const std::string& model)
{
    return const_cast<WeightRow*>(findWeightRow(std::as_const(rows), model));
}

void syncWeightRows(std::vector<WeightRow>& rows, const std::vector<WantedModel>& models, TimePoint now)
{
    std::vector<WeightRow> wanted;
    for (const auto& model : models) {
        WeightRow row;
        if (WeightRow* held = findWeightRow(rows, model.model))
            row = std::move(*held);
        else
            row.assignedSince = now;
        if (row.label != model.label) {
            row.confirmedAt = {};
            row.assignedSince = now;
        }
        row.model = model.model;
        row.label = model.label;
        wanted.push_back(std::move(row));
    }
    rows = std::move(wanted);
}

bool hasAllChunks(const WeightVersion& version)
{
    return !version.chunks.empty() && std::all_of(version.chunks.begin(), version.chunks.end(), [](const ChunkState& chunk) { return chunk.isHeld; });
}

bool isComplete(const WeightVersion& version)
{
    return !version.contentSha256.empty() && hasAllChunks(version);
}

bool supersedesWantedVersion(const WeightRow& row, const std::string& label, TimePoint confirmedAt)
{
    return label == row.label && confirmedAt > row.confirmedAt;
}

void adoptManifest(WeightRow& row, Manifest manifest, TimePoint confirmedAt, const ChunkStore& store, TimePoint now)
{
    row.confirmedAt = std::max(row.confirmedAt, confirmedAt);
    if (manifest.digest == row.wanted.manifest.digest)
        return;
    bool isRollback = manifest.digest == row.previous.manifest.digest;
    if (isRollback) {
        std::swap(row.wanted, row.previous);
        if (!isComplete(row.previous))
            row.previous = {};
        return;
    }
    if (isComplete(row.wanted))
        row.previous = std::move(row.wanted);
    row.wanted = {};
    row.wanted.manifest = std::move(manifest);
    row.isTooLarge = false;
    for (const auto& chunk : row.wanted.manifest.chunks)
        row.wanted.chunks.push_back({ store.has(chunk.digest), false, now });
}

static void updateFetchedChunk(WeightVersion& version, const std::string& digest, bool isHeld)
{
    for (size_t i = 0; i < version.chunks.size(); ++i) {
        if (version.manifest.chunks[i].digest != digest)
            continue;
        version.chunks[i].isInProgress = false;
        version.chunks[i].isHeld = isHeld;
    }
}

void updateFetchedChunk(std::vector<WeightRow>& rows, const std::string& digest, const ChunkStore& store)
{
    bool isHeld = store.has(digest);
    for (auto& row : rows) {
        updateFetchedChunk(row.wanted, digest, isHeld);
        updateFetchedChunk(row.previous, digest, isHeld);
    }
}

static void addChunkDigests(const WeightVersion& version, std::unordered_set<std::string>& digests)
{
    for (const auto& chunk : version.manifest.chunks)
        digests.insert(chunk.digest);
}

std::unordered_set<std::string> chooseRetainedDigests(std::vector<WeightRow>& rows, uint64_t maxBytes)
{
    std::unordered_set<std::string> digests;
    uint64_t bytes = 0;
    for (auto& row : rows) {
        row.isTooLarge = bytes + row.wanted.manifest.sizeBytes > maxBytes;
        if (row.isTooLarge)
            continue;
        bytes += row.wanted.manifest.sizeBytes;
        addChunkDigests(row.wanted, digests);
    }
    for (auto& row : rows) {
        if (bytes + row.previous.manifest.sizeBytes > maxBytes) {
            row.previous = {};
            continue;
        }
        bytes += row.previous.manifest.sizeBytes;
        addChunkDigests(row.previous, digests);
    }
    return digests;
}

bool isResolveDue(const WeightRow& row, size_t rank, TimePoint now)
{
    if (now < row.nextResolveAt)
        return false;
    auto lastKnownAt = std::max(row.confirmedAt, row.assignedSince);
    // The first resolver asks at once while no version has been confirmed.
    if (row.confirmedAt == TimePoint {} && rank == 0)
        return true;
    return now - lastKnownAt >= resolveInterval + resolveTakeoverDelay * static_cast<int>(rank);
}

} // namespace bilberry
