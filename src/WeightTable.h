/// The table of models that this VM carries, with the versions and chunks held of each. It decides which versions are wanted
/// and kept in memory and when the weight store is asked for new ones. It does no I/O.
#pragma once

#include "ChunkPlan.h"
#include "ChunkStore.h"
#include "Manifest.h"

#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace bilberry {

/// One version and the chunks held of it.
struct WeightVersion {
    Manifest manifest; ///< The manifest; an empty digest means that there is no version.
    std::vector<ChunkState> chunks; ///< States of the chunks, by position in the manifest.
    std::string contentSha256; ///< SHA-256 of all chunks in order, hex; set once all are held and verified.
};

/// A load order that the engine confirmed.
struct CompletedLoad {
    std::string digest; ///< Digest of the loaded version; empty: none.
    uint64_t fencingToken = 0; ///< Fencing token of the order.
};

/// One model wanted on this VM.
struct WeightRow {
    std::string model;
    std::string label; ///< Version tag whose version is wanted.
    WeightVersion wanted; ///< The newest version known for the tag.
    WeightVersion previous; ///< The last complete version, kept as long as both fit into memory.
    TimePoint confirmedAt {}; ///< When the weight store last returned the wanted version for the tag.
    TimePoint assignedSince {}; ///< Since when this VM has carried the model under this tag.
    TimePoint nextResolveAt {}; ///< The weight store is not asked before this time.
    TimePoint nextOrderAt {}; ///< No order is sent to the engine before this time.
    CompletedLoad lastLoad; ///< The last load that the engine confirmed on this process's order, since the process began to carry the model.
    bool isTooLarge = false; ///< The wanted version does not fit into the memory for weights.
};

/// A model and the version tag of its wanted version.
struct WantedModel {
    std::string model;
    std::string label;
};

/// Updates the rows to the models that the placement assigns to this VM. Rows of other models are removed. A row whose
/// tag changes keeps its versions until the version of the new tag is known.
void syncWeightRows(std::vector<WeightRow>&, const std::vector<WantedModel>&, TimePoint now);

/// The row of a model, or null.
WeightRow* findWeightRow(std::vector<WeightRow>&, const std::string& model);
const WeightRow* findWeightRow(const std::vector<WeightRow>&, const std::string& model);

/// Whether all chunks are held and the content digest is known. Thread safe.
bool isComplete(const WeightVersion&);

/// Whether all chunks are held. Thread safe.
bool hasAllChunks(const WeightVersion&);

/// Whether a version for the tag replaces the row's wanted one: the weight store confirmed it later. Thread safe.
bool supersedesWantedVersion(const WeightRow&, const std::string& label, TimePoint confirmedAt);

/// Makes the manifest the wanted version; a complete version that it replaces becomes the previous one. Chunks that the
/// store already holds count as held.
void adoptManifest(WeightRow&, Manifest, TimePoint confirmedAt, const ChunkStore&, TimePoint now);

/// Updates all positions with that chunk digest, in all versions, after a fetch has ended: whether the chunk is held
/// depends on the store.
void updateFetchedChunk(std::vector<WeightRow>&, const std::string& digest, const ChunkStore&);

/// The chunk digests to keep in memory: those of the wanted versions that fit into `maxBytes`, then those of the previous
/// versions that still fit. Rows whose wanted version does not fit are marked as too large. Previous versions that do not
/// fit are dropped.
std::unordered_set<std::string> chooseRetainedDigests(std::vector<WeightRow>&, uint64_t maxBytes);

/// Whether this VM is due to ask the weight store for the version of the tag. The VM of rank 0 asks at each interval; each
/// further rank takes over when no version has been confirmed for a longer time. Thread safe.
bool isResolveDue(const WeightRow&, size_t rank, TimePoint now);

} // namespace bilberry
