/// Fetches manifests of model weights from the weight store and from other processes of the system.
#pragma once

#include "Manifest.h"
#include "Types.h"

#include <absl/status/statusor.h>
#include <string>

namespace bilberry {

struct Node;

/// Fetches the manifest that `reference`, a label or a digest, refers to. Errors: NotFound; ResourceExhausted when the
/// store's rate limit is exceeded; Unavailable; InvalidArgument for a manifest that doesn't parse. Blocks for up to the
/// settings' time limits of a connection and a call. Thread safe.
absl::StatusOr<Manifest> fetchManifestFromStore(Node&, const std::string& store, const std::string& model, const std::string& reference);

/// Fetches the manifest with that digest from another process of the system and verifies the digest. Errors are those of
/// fetchManifestFromStore(), and InvalidArgument when the digest differs. Blocks as long as that function. Thread safe.
absl::StatusOr<Manifest> fetchManifestFromPeer(Node&, const std::string& peer, const std::string& digest);

} // namespace bilberry
