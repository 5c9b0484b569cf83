#include "StandInEngine.h"

namespace bilberry::standin {

namespace {

constexpr Seconds sourceTimeout { 60 };

/// The parameters of a load or unload order.
struct Order {
    std::string model;
    std::string digest;
    std::string sourceUrl;
    std::string fencingToken;
};

Order parseOrder(const httplib::Request& request)
{
    Order order;
    order.model = request.matches[1];
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("parameters"))
        return order;
    const nlohmann::json& parameters = body["parameters"];
    order.digest = parameters.value("digest", "");
    order.sourceUrl = parameters.value("source", "");
    order.fencingToken = parameters.value("fencing", "");
    return order;
}

/// Checks the fencing token of an order and stores it if it is the highest one. Precondition: the engine is locked.
bool acceptFencingToken(Engine& engine, EngineModel& model, const Order& order)
{
    const uint64_t token = std::strtoull(order.fencingToken.c_str(), nullptr, 10);
    if (token < model.highestFencingToken && switchValue(engine.controls, "checks_fencing", true))
        return false;
    model.highestFencingToken = std::max(model.highestFencingToken, token);
    return true;
}

/// Reads all bytes of the source. Returns their SHA-256, or an empty string if the read failed.
std::string readSource(const std::string& source)
{
    const size_t hostStart = source.find("://") + 3;
    const size_t pathStart = source.find('/', hostStart);
    if (pathStart == std::string::npos)
        return {};
    httplib::Client client(source.substr(0, pathStart));
    client.set_read_timeout(sourceTimeout);
    const auto result = client.Get(source.substr(pathStart));
    return result && result->status == 200 ? sha256Hex(result->body) : std::string();
}

/// Makes the loaded version the serving one. Returns false and changes nothing if a later order has superseded the load.
bool finishLoad(Engine& engine, const Order& order, uint64_t orderNumber, const std::string& content)
{
    const std::lock_guard lock(engine.mutex);
    EngineModel& model = engine.models[order.model];
    if (model.lastOrderNumber != orderNumber)
        return false;
    model.loadingDigest.clear();
    if (content.empty())
        return true;
    model.servingDigest = order.digest;
    model.servingFencingToken = order.fencingToken;
    model.contentSha256 = content;
    startColdPeriod(engine.limiter, switchDuration(engine.controls, "cold_ms"));
    return true;
}

void answerLoad(Engine& engine, const httplib::Request& request, httplib::Response& response)
{
    const Order order = parseOrder(request);
    if (order.digest.empty() || order.sourceUrl.empty())
        return answerError(response, 400, "digest and source are required");
    uint64_t orderNumber = 0;
    {
        const std::lock_guard lock(engine.mutex);
        EngineModel& model = engine.models[order.model];
        if (!acceptFencingToken(engine, model, order))
            return answerError(response, 409, "stale fencing token");
        orderNumber = ++model.lastOrderNumber;
        model.loadingDigest.clear();
        if (model.servingDigest == order.digest) {
            model.servingFencingToken = order.fencingToken;
            return answerJson(response, 200, nlohmann::json::object());
        }
        model.loadingDigest = order.digest;
        model.loadingFencingToken = order.fencingToken;
    }
    const std::string content = readSource(order.sourceUrl);
    if (!finishLoad(engine, order, orderNumber, content))
        return answerError(response, 409, "superseded by a later order");
    if (content.empty())
        return answerError(response, 400, "the weights could not be read completely");
    answerJson(response, 200, nlohmann::json::object());
}

void answerUnload(Engine& engine, const httplib::Request& request, httplib::Response& response)
{
    const Order order = parseOrder(request);
    const std::lock_guard lock(engine.mutex);
    EngineModel& model = engine.models[order.model];
    if (!acceptFencingToken(engine, model, order))
        return answerError(response, 409, "stale fencing token");
    ++model.lastOrderNumber;
    model.servingDigest.clear();
    model.loadingDigest.clear();
    answerJson(response, 200, nlohmann::json::object());
}

void answerIndex(Engine& engine, const httplib::Request&, httplib::Response& response)
{
    const std::lock_guard lock(engine.mutex);
    nlohmann::json index = nlohmann::json::array();
    for (const auto& [name, model] : engine.models) {
        if (!model.servingDigest.empty())
            index.push_back({ { "name", name }, { "digest", model.servingDigest }, { "state", "READY" }, { "fencing", model.servingFencingToken }, { "content_sha256", model.contentSha256 } });
        if (!model.loadingDigest.empty())
            index.push_back({ { "name", name }, { "digest", model.loadingDigest }, { "state", "LOADING" }, { "fencing", model.loadingFencingToken } });
    }
    answerJson(response, 200, index);
}

void answerReady(Engine& engine, const httplib::Request&, httplib::Response& response)
{
    const std::lock_guard lock(engine.mutex);
    const bool isServing = std::any_of(engine.models.begin(), engine.models.end(), [](const auto& entry) { return !entry.second.servingDigest.empty(); });
    response.status = isServing ? 200 : 503;
}

} // namespace

void addOrderRoutes(Engine& engine, Server& server)
{
    server.Post("/v2/repository/models/([^/]+)/load", makeHandler(engine, answerLoad));
    server.Post("/v2/repository/models/([^/]+)/unload", makeHandler(engine, answerUnload));
    server.Post("/v2/repository/index", makeHandler(engine, answerIndex));
    server.Get("/v2/health/ready", makeHandler(engine, answerReady));
}

} // namespace bilberry::standin
