#include "Manifest.h"

#include "Digest.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

// The largest chunk that is accepted, in bytes.
static constexpr uint64_t maxChunkBytes = uint64_t(1) << 30;

static bool isDigest(const std::string& text)
{
    return text.size() == 71 && text.rfind("sha256:", 0) == 0 && text.find_first_not_of("0123456789abcdef", 7) == std::string::npos;
}

static absl::Status parseChunks(const json& layers, Manifest& manifest)
{
    for (const auto& layer : layers) {
        ManifestChunk chunk;
        chunk.digest = layer.at("digest").get<std::string>();
        chunk.sizeBytes = layer.at("size").get<uint64_t>();
        if (!isDigest(chunk.digest))
            return absl::InvalidArgumentError(absl::StrCat("layers[", manifest.chunks.size(), "].digest is not a SHA-256 digest"));
        if (chunk.sizeBytes == 0 || chunk.sizeBytes > maxChunkBytes)
            return absl::InvalidArgumentError(absl::StrCat("layers[", manifest.chunks.size(), "].size is out of bounds"));
        manifest.sizeBytes += chunk.sizeBytes;
        manifest.chunks.push_back(std::move(chunk));
    }
    return absl::OkStatus();
}

absl::StatusOr<Manifest> parseManifest(std::string_view text)
{
    if (text.size() > maxManifestBytes)
        return absl::InvalidArgumentError("manifest is larger than the limit");
    Manifest manifest;
    try {
        auto document = json::parse(text);
        auto status = parseChunks(document.at("layers"), manifest);
        if (!status.ok())
            return status;
    } catch (const json::exception& exception) {
        return absl::InvalidArgumentError(exception.what());
    }
    if (manifest.chunks.empty())
        return absl::InvalidArgumentError("manifest has no chunks");
    manifest.digest = "sha256:" + sha256Hex(text);
    manifest.text = std::string(text);
    return manifest;
}

} // namespace bilberry
