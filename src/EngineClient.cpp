#include "EngineClient.h"

#include "Node.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

// The largest response of the engine that is read, in bytes.
static constexpr size_t maxResponseBytes = 1 << 20;

static EngineModel parseModel(const json& entry)
{
    EngineModel model;
    model.model = entry.at("name").get<std::string>();
    model.digest = entry.value("digest", std::string());
    model.isReady = entry.at("state").get<std::string>() == "READY";
    model.contentSha256 = entry.value("content_sha256", std::string());
    if (!absl::SimpleAtoi(entry.value("fencing", std::string("0")), &model.fencingToken))
        model.fencingToken = 0;
    return model;
}

absl::StatusOr<std::vector<EngineModel>> readEngineModels(Node& node, const std::string& engine)
{
    HttpRequest request { "POST", "/v2/repository/index", { { "Content-Type", "application/json" } }, "{}" };
    auto reply = node.clients.sendRequest(engine, request, { node.settings.connectTimeout, node.settings.callTimeout }, maxResponseBytes);
    if (reply.failure != CallFailure::None || reply.status != 200)
        return absl::UnavailableError(absl::StrCat("engine answered status ", reply.status));
    std::vector<EngineModel> models;
    try {
        for (const auto& entry : json::parse(reply.body))
            models.push_back(parseModel(entry));
    } catch (const json::exception& exception) {
        return absl::UnavailableError(exception.what());
    }
    return models;
}

static absl::Status sendOrder(Node& node, const std::string& engine, const std::string& path, const json& parameters, Milliseconds timeout)
{
    json body { { "parameters", parameters } };
    HttpRequest request { "POST", path, { { "Content-Type", "application/json" } }, body.dump() };
    auto reply = node.clients.sendRequest(engine, request, { node.settings.connectTimeout, timeout }, maxResponseBytes);
    if (reply.failure != CallFailure::None)
        return absl::UnavailableError("engine was not reached");
    if (reply.status == 409)
        return absl::FailedPreconditionError("engine has seen a higher order number");
    if (reply.status == 400)
        return absl::InvalidArgumentError("engine refused the weights");
    return reply.status == 200 ? absl::OkStatus() : absl::UnavailableError(absl::StrCat("engine answered status ", reply.status));
}

absl::Status sendLoadOrder(Node& node, const std::string& engine, const LoadOrder& order, Milliseconds timeout)
{
    json parameters { { "digest", order.digest }, { "source", order.sourceUrl }, { "fencing", std::to_string(order.fencingToken) } };
    return sendOrder(node, engine, absl::StrCat("/v2/repository/models/", order.model, "/load"), parameters, timeout);
}

absl::Status sendUnloadOrder(Node& node, const std::string& engine, const std::string& model, uint64_t fencingToken)
{
    json parameters { { "fencing", std::to_string(fencingToken) } };
    return sendOrder(node, engine, absl::StrCat("/v2/repository/models/", model, "/unload"), parameters, node.settings.callTimeout);
}

absl::StatusOr<bool> readEngineColdState(Node& node, const std::string& engine)
{
    HttpRequest request { "GET", "/metrics", {}, {} };
    auto reply = node.clients.sendRequest(engine, request, { node.settings.connectTimeout, node.settings.callTimeout }, maxResponseBytes);
    if (reply.failure != CallFailure::None || reply.status != 200)
        return absl::UnavailableError("engine was not reached");
    auto line = reply.body.find("\nengine_cold ");
    return line != std::string::npos && reply.body.compare(line + 13, 1, "1") == 0;
}

} // namespace bilberry
