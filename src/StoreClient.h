/// Reads from the weight store.
#pragma once

#include "Manifest.h"
#include "Types.h"

#include <absl/status/statusor.h>
#include <string>

namespace bilberry {

struct Node;

/// Reads the manifest of a label, or of a digest. Errors: NotFound, ResourceExhausted over the store's rate,
/// Unavailable, InvalidArgument for a manifest that does not parse. Thread safe.
absl::StatusOr<Manifest> readManifest(Node&, const std::string& store, const std::string& model, const std::string& reference);

/// Reads one chunk, not yet verified. Errors as above. Thread safe.
absl::StatusOr<std::string> readBlob(Node&, const std::string& store, const std::string& model, const ManifestChunk&, Milliseconds timeout);

} // namespace bilberry
