#include "PieceManifest.h"

#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

std::string encodeManifest(const PieceManifest& manifest)
{
    auto bytes = json::to_msgpack(json::array({ manifest.model, manifest.version, manifest.pieceBytes, manifest.digests }));
    return std::string(bytes.begin(), bytes.end());
}

absl::StatusOr<PieceManifest> decodeManifest(const std::string& bytes)
{
    auto fields = json::from_msgpack(bytes, true, false);
    bool hasExpectedTypes = fields.is_array() && fields.size() == 4 && fields[0].is_string() && fields[1].is_number_unsigned() && fields[2].is_number_unsigned() && fields[3].is_array();
    if (!hasExpectedTypes)
        return absl::InvalidArgumentError("the bytes are not a piece manifest");
    PieceManifest manifest;
    manifest.model = fields[0].get<std::string>();
    manifest.version = fields[1].get<uint32_t>();
    manifest.pieceBytes = fields[2].get<size_t>();
    for (const auto& digest : fields[3]) {
        if (!digest.is_string())
            return absl::InvalidArgumentError("a digest in the piece manifest is not a string");
        manifest.digests.push_back(digest.get<std::string>());
    }
    if (manifest.digests.empty())
        return absl::InvalidArgumentError("the piece manifest has no digests");
    return manifest;
}

} // namespace bilberry
