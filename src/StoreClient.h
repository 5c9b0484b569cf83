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
absl::StatusOr<Manifest> fetchManifestFromStore(Node&, const std::string& store, const std::string& model, const std::string& reference);

/// Reads a manifest by digest from another process of the system and checks it against the digest. Errors as above.
/// Thread safe.
absl::StatusOr<Manifest> fetchManifestFromPeer(Node&, const std::string& peer, const std::string& digest);

} // namespace bilberry
