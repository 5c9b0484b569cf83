#include "Gossip.h"

#include "JsonRpcBridge.h"
#include "Node.h"
#include "Rendezvous.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

// Peers that one round exchanges with.
static constexpr size_t peersPerRound = 2;
// Largest answer of a peer that is read, in bytes: a document and its framing, escaped.
static constexpr size_t maxReplyBytes = 4 * maxConfigurationBytes;

static json makeExchange(Node& node)
{
    auto now = Clock::now();
    json rows = json::array();
    for (const auto& row : node.fleet.rows()) {
        auto age = std::chrono::duration_cast<Milliseconds>(now - row.reportedAt);
        rows.push_back({ { "age_ms", age.count() }, { "status", toJson(row.status) } });
    }
    json generations;
    for (int kind = 0; kind < documentKindCount; ++kind)
        generations.push_back(node.published.generation(static_cast<DocumentKind>(kind)));
    return { { "vm", node.settings.vm }, { "generations", generations }, { "rows", rows } };
}

static bool takeExchange(Node& node, const json& message)
{
    auto now = Clock::now();
    try {
        for (const auto& row : message.at("rows")) {
            auto age = Milliseconds(row.at("age_ms").get<int64_t>());
            auto status = parseVmStatus(row.at("status"));
            if (!status || age < Milliseconds(0))
                return false;
            if (age < reportLifetime && status->vm != node.settings.vm)
                node.fleet.merge(*status, age, now);
        }
    } catch (const json::exception&) {
        return false;
    }
    return true;
}

static std::string answerExchange(Node& node, const std::string& parameters)
{
    auto message = json::parse(parameters, nullptr, false);
    if (message.is_discarded() || !takeExchange(node, message)) {
        node.metrics.count("bilberry_messages_refused_total", { { "method", "exchange" } });
        return {};
    }
    return makeExchange(node).dump();
}

static std::string answerDocument(Node& node, const std::string& parameters)
{
    auto message = json::parse(parameters, nullptr, false);
    int kind = message.is_object() ? message.value("kind", -1) : -1;
    if (kind < 0 || kind >= documentKindCount)
        return {};
    auto document = node.published.document(static_cast<DocumentKind>(kind));
    return json { { "generation", document.generation }, { "text", document.text } }.dump();
}

void addGossipMethods(JsonRpcDispatcher& dispatcher, Node& node)
{
    dispatcher.addMethod("exchange", [&node](const std::string& parameters) { return answerExchange(node, parameters); });
    dispatcher.addMethod("document", [&node](const std::string& parameters) { return answerDocument(node, parameters); });
}

static json callPeer(Node& node, const std::string& address, const std::string& method, const json& parameters)
{
    auto carrier = [&](const std::string& request, std::string& response) {
        HttpRequest message { "POST", "/rpc", { { "Content-Type", "application/json" }, { "Connection", "close" } }, request };
        auto reply = node.clients.call(address, message, { node.settings.connectTimeout, node.settings.callTimeout }, maxReplyBytes);
        response = std::move(reply.body);
        return reply.failure == CallFailure::None && reply.status == 200;
    };
    auto reply = callJsonRpc(method, parameters.dump(), carrier);
    return reply.error.empty() ? json::parse(reply.result, nullptr, false) : json();
}

static void fetchDocument(Node& node, const std::string& address, DocumentKind kind)
{
    auto answer = callPeer(node, address, "document", { { "kind", static_cast<int>(kind) } });
    if (!answer.is_object())
        return;
    auto generation = answer.value("generation", Generation(0));
    if (generation > node.published.generation(kind))
        adoptDocument(node, kind, generation, answer.value("text", std::string()), "peer");
}

bool exchangeWithPeer(Node& node, const std::string& address)
{
    auto answer = callPeer(node, address, "exchange", makeExchange(node));
    if (!answer.is_object() || !takeExchange(node, answer)) {
        node.metrics.count("bilberry_exchanges_total", { { "result", "failed" } });
        return false;
    }
    node.metrics.count("bilberry_exchanges_total", { { "result", "ok" } });
    auto generations = answer.value("generations", std::vector<Generation>());
    for (int kind = 0; kind < documentKindCount && kind < static_cast<int>(generations.size()); ++kind) {
        auto document = static_cast<DocumentKind>(kind);
        if (generations[static_cast<size_t>(kind)] > node.published.generation(document))
            fetchDocument(node, address, document);
    }
    return true;
}

static std::vector<std::string> choosePeers(Node& node, uint64_t round)
{
    auto configuration = node.published.configuration();
    if (!configuration)
        return node.settings.peers;
    std::vector<std::string> addresses;
    for (const auto& vm : configuration->inventory.vms) {
        if (vm.name != node.settings.vm)
            addresses.push_back(vm.address);
    }
    return rankMembers(node.settings.vm + std::to_string(round), addresses, peersPerRound);
}

void tickGossip(Node& node, uint64_t round)
{
    for (const auto& address : choosePeers(node, round))
        exchangeWithPeer(node, address);
}

void publishOwnStatus(Node& node, VmStatus status)
{
    status.vm = node.settings.vm;
    status.incarnation = node.incarnation;
    status.sequence = ++node.statusSequence;
    status.generation = node.published.generation(DocumentKind::Configuration);
    node.fleet.merge(status, Duration(0), Clock::now());
}

} // namespace bilberry
