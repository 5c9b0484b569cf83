#include "StatusMethod.h"

#include "JsonRpcBridge.h"
#include "Node.h"

#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

static json describeDocument(const Node& node, DocumentKind kind)
{
    auto document = node.publishedState.document(kind);
    return { { "kind", toText(kind) }, { "generation", document.generation }, { "digest", document.digest } };
}

static json describeVm(const FleetRow& row, TimePoint now)
{
    const VmStatus& status = row.status;
    json served = json::array();
    for (const auto& model : status.servedModels)
        served.push_back({ { "model", model.model }, { "digest", model.digest } });
    auto age = std::chrono::duration_cast<Milliseconds>(now - row.reportedAt);
    return { { "vm", status.vm }, { "age_ms", age.count() }, { "generation", status.generation }, { "is_leaving", status.isLeaving },
        { "is_cold", status.isCold }, { "in_progress", status.requestsInProgress }, { "limit", status.admissionLimit }, { "served", served } };
}

static std::string makeStatusAnswer(Node& node, const std::function<uint32_t()>& inProgress)
{
    json vms = json::array();
    auto now = Clock::now();
    for (const auto& row : node.fleet.rows())
        vms.push_back(describeVm(row, now));
    json documents = json::array({ describeDocument(node, DocumentKind::Configuration), describeDocument(node, DocumentKind::LiveList) });
    json answer { { "vm", node.settings.vm }, { "role", node.settings.role == Role::Entry ? "entry" : "endpoint" },
        { "data_centre", node.settings.dataCentre }, { "version", BILBERRY_VERSION }, { "incarnation", node.incarnation.load() },
        { "is_leaving", node.isLeaving.load() }, { "in_progress", inProgress() }, { "documents", documents }, { "vms", vms } };
    return answer.dump(-1, ' ', true, json::error_handler_t::replace);
}

void addStatusMethod(JsonRpcDispatcher& dispatcher, Node& node, std::function<uint32_t()> inProgress)
{
    dispatcher.addMethod("status", [&node, inProgress = std::move(inProgress)](const std::string&) { return makeStatusAnswer(node, inProgress); });
}

} // namespace bilberry
