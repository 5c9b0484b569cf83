/// The digests of a version's pieces, as agents hand them to each other.
#pragma once

#include "ProtocolAdapter.h"

#include <absl/status/statusor.h>
#include <string>

namespace bilberry {

std::string encodeManifest(const PieceDigests&);
/// Fails for bytes that are no manifest. Thread safe.
absl::StatusOr<PieceDigests> decodeManifest(const std::string& bytes);

} // namespace bilberry
