#include "ManifestClient.h"

#include "Node.h"

#include <absl/strings/str_cat.h>

namespace bilberry {

static absl::Status toStatus(const HttpReply& reply)
{
    if (reply.failure != CallFailure::None)
        return absl::UnavailableError("could not reach the server of the manifest");
    if (reply.status == 200)
        return absl::OkStatus();
    if (reply.status == 404)
        return absl::NotFoundError("the server does not have the manifest");
    if (reply.status == 429)
        return absl::ResourceExhaustedError("the server refused the request: rate limit exceeded");
    return absl::UnavailableError(absl::StrCat("the server answered with status ", reply.status));
}

absl::StatusOr<Manifest> fetchManifestFromStore(Node& node, const std::string& store, const std::string& model, const std::string& reference)
{
    HttpRequest request { "GET", absl::StrCat("/v2/", model, "/manifests/", reference), {}, {} };
    auto reply = node.clients.sendRequest(store, request, { node.settings.connectTimeout, node.settings.callTimeout }, maxManifestBytes);
    auto status = toStatus(reply);
    if (!status.ok())
        return status;
    return parseManifest(reply.body);
}

absl::StatusOr<Manifest> fetchManifestFromPeer(Node& node, const std::string& peer, const std::string& digest)
{
    HttpRequest request { "GET", absl::StrCat("/manifests/", digest), {}, {} };
    auto reply = node.clients.sendRequest(peer, request, { node.settings.connectTimeout, node.settings.callTimeout }, maxManifestBytes);
    auto status = toStatus(reply);
    if (!status.ok())
        return status;
    auto manifest = parseManifest(reply.body);
    if (manifest.ok() && manifest->digest != digest)
        return absl::InvalidArgumentError("the manifest does not have the expected digest");
    return manifest;
}

} // namespace bilberry
