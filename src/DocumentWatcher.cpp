#include "DocumentWatcher.h"

#include "Node.h"
#include "Rendezvous.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

namespace bilberry {

// Processes of one data centre that hold a watch.
static constexpr size_t watchersPerDataCentre = 2;

bool isWatcher(const Node& node)
{
    auto configuration = node.published.configuration();
    if (!configuration)
        return true;
    RowIndex own = findOwnVm(node, *configuration);
    if (own == noRow)
        return true;
    auto now = Clock::now();
    std::vector<std::string> members { node.settings.vm };
    for (const auto& row : node.fleet.rows()) {
        RowIndex vm = findRow(configuration->inventory.vms, row.status.vm);
        bool isHere = vm != noRow && vm != own && configuration->inventory.vms[vm].dataCentre == configuration->inventory.vms[own].dataCentre;
        if (isHere && now - row.reportedAt < reportLifetime && !row.status.isLeaving)
            members.push_back(row.status.vm);
    }
    auto watchers = rankMembers("watch", members, watchersPerDataCentre);
    return std::find(watchers.begin(), watchers.end(), node.settings.vm) != watchers.end();
}

bool watchDocument(Node& node, DocumentKind kind, Milliseconds wait)
{
    Generation known = node.published.generation(kind);
    std::string path = fmt::format("/v1/kv/bilberrybarrow/{}?raw&index={}&wait={}ms", toText(kind), known, wait.count());
    HttpRequest request { "GET", path, {}, {} };
    auto reply = node.clients.call(node.settings.configurationService, request, { node.settings.connectTimeout, wait + node.settings.callTimeout }, maxConfigurationBytes);
    node.metrics.count("bilberry_configuration_reads_total", { { "document", std::string(toText(kind)) }, { "status", std::to_string(reply.status) } });
    if (reply.failure != CallFailure::None || reply.status != 200)
        return false;
    Generation generation = 0;
    if (!absl::SimpleAtoi(findHeader(reply.headers, "X-Consul-Index"), &generation) || generation == 0)
        return false;
    adoptDocument(node, kind, generation, reply.body, "service");
    return true;
}

} // namespace bilberry
