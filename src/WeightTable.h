/// The models that this VM carries, with the chunks held of each version. Plain data and decisions, no I/O.
#pragma once

#include "ChunkPlan.h"
#include "ChunkStore.h"
#include "Manifest.h"

#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace bilberry {

/// One version and what is held of it.
struct WeightVersion {
    Manifest manifest; ///< Empty digest: none.
    std::vector<ChunkState> chunks; ///< By position in the manifest.
    std::string contentSha256; ///< Of all chunks in order, hex; set once all are held and verified.
};

/// A load that the engine said it carried out.
struct CompletedLoad {
    std::string digest; ///< Of the version; empty: none.
    uint64_t fencingToken = 0; ///< Number of the order.
};

/// One model wanted on this VM.
struct WeightRow {
    std::string model;
    std::string label;
    WeightVersion wanted; ///< The newest known under the label.
    WeightVersion previous; ///< The last whole one, kept as long as both fit.
    TimePoint confirmedAt {}; ///< When the weight store last gave the wanted version for the label.
    TimePoint assignedSince {}; ///< When the model came to this VM.
    TimePoint nextResolveAt {};
    TimePoint nextOrderAt {};
    CompletedLoad lastLoad; ///< Of this process, since it began to carry the model.
    bool isTooLarge = false; ///< The wanted version does not fit into the memory for weights.
};

/// A model and the label of its version.
struct WantedModel {
    std::string model;
    std::string label;
};

/// Brings the rows in line with what the placement wants. Rows of models not wanted any more go.
void syncWeightRows(std::vector<WeightRow>&, const std::vector<WantedModel>&, TimePoint now);

/// The row of a model, or null.
WeightRow* findWeightRow(std::vector<WeightRow>&, const std::string& model);
const WeightRow* findWeightRow(const std::vector<WeightRow>&, const std::string& model);

/// Whether all chunks are held and the digest of the whole is known. Thread safe.
bool isComplete(const WeightVersion&);

/// Whether all chunks are held. Thread safe.
bool hasAllChunks(const WeightVersion&);

/// Whether a version confirmed at that time supersedes the row's: the store gave it later than the one held.
/// Thread safe.
bool supersedesWantedVersion(const WeightRow&, const std::string& label, TimePoint confirmedAt);

/// Makes the manifest the wanted version; a whole one that it replaces becomes the previous one. Chunks whose digest
/// recurs stay held.
void adoptManifest(WeightRow&, Manifest, TimePoint confirmedAt, const ChunkStore&, TimePoint now);

/// Takes the end of a fetch over: every position of every version with that digest is held or missing.
void updateFetchedChunk(std::vector<WeightRow>&, const std::string& digest, const ChunkStore&);

/// Digests to keep in memory: those of the wanted versions, and of the previous ones when everything fits into
/// `maxBytes`; rows whose wanted version does not fit are marked too large, and keep their previous one.
std::unordered_set<std::string> chooseRetainedDigests(std::vector<WeightRow>&, uint64_t maxBytes);

/// Whether this VM is to ask the weight store what version the label has: the first of `rank` does so at each interval,
/// the next ones when nothing was confirmed for longer and longer. Thread safe.
bool isResolveDue(const WeightRow&, size_t rank, TimePoint now);

} // namespace bilberry
