#include "PieceManifest.h"

#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

std::string encodeManifest(const PieceDigests& manifest)
{
    auto bytes = json::to_msgpack(json::array({ manifest.model, manifest.version, manifest.pieceBytes, manifest.digests }));
    return std::string(bytes.begin(), bytes.end());
}

absl::StatusOr<PieceDigests> decodeManifest(const std::string& bytes)
{
    auto whole = json::from_msgpack(bytes, true, false);
    bool isTyped = whole.is_array() && whole.size() == 4 && whole[0].is_string() && whole[1].is_number_unsigned() && whole[2].is_number_unsigned() && whole[3].is_array();
    if (!isTyped)
        return absl::InvalidArgumentError("not a manifest");
    PieceDigests manifest;
    manifest.model = whole[0].get<std::string>();
    manifest.version = whole[1].get<uint32_t>();
    manifest.pieceBytes = whole[2].get<size_t>();
    for (const auto& digest : whole[3]) {
        if (!digest.is_string())
            return absl::InvalidArgumentError("a digest that is no text");
        manifest.digests.push_back(digest.get<std::string>());
    }
    return manifest;
}

} // namespace bilberry
