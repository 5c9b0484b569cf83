/// Parses manifests: the list of a version's chunks, as the weight store publishes it.
#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

struct ManifestChunk {
    std::string digest; ///< "sha256:" and 64 lower-case hex digits.
    uint64_t sizeBytes = 0;
};

struct Manifest {
    std::string digest; ///< Identity of the version: "sha256:" and the SHA-256 of the manifest's text.
    std::vector<ManifestChunk> chunks;
    uint64_t sizeBytes = 0; ///< Total size of all chunks.
    std::string text; ///< The published text, which is passed on to peers unchanged.
};

/// The largest manifest that is read, in bytes.
constexpr size_t maxManifestBytes = 8 << 20;

/// Parses and checks a manifest. Error: InvalidArgument with the reason when it is not valid. Thread safe.
absl::StatusOr<Manifest> parseManifest(std::string_view text);

} // namespace bilberry
