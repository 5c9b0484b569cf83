/// The encoding in which agents send each other the digests of a version's pieces (MessagePack).
#pragma once

#include "ProtocolAdapter.h"

#include <absl/status/statusor.h>
#include <string>

namespace bilberry {

/// Encodes a manifest. Thread safe.
std::string encodeManifest(const PieceManifest&);
/// Decodes a manifest; returns InvalidArgument for bytes that aren't a manifest. Thread safe.
absl::StatusOr<PieceManifest> decodeManifest(const std::string& bytes);

} // namespace bilberry
