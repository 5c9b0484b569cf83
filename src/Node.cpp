#include "Node.h"

#include "Log.h"

namespace bilberry {

std::string outgoingAddress(const Settings& settings)
{
    const std::string& host = settings.listenAddress.host;
    return host == "0.0.0.0" || host == "::" ? std::string() : host;
}

Node::Node(const Settings& ownSettings)
    : settings(ownSettings)
    , clients(outgoingAddress(ownSettings))
{
    if (this->settings.authenticationKeys.signingKey.empty())
        return;
    this->clients.setSigner([keys = this->settings.authenticationKeys](HttpRequest& request) {
        if (isInternalPath(request.path))
            signRequest(keys, request, std::chrono::system_clock::now());
    });
}

bool mayAcceptWork(const Node& node)
{
    return node.pauseGuard.mayAct(Clock::now());
}

RowIndex findOwnVm(const Node& node, const Configuration& configuration)
{
    return findRow(configuration.inventory.vms, node.settings.vm);
}

AdoptionResult adoptDocument(Node& node, DocumentKind kind, Generation generation, const std::string& text, DocumentSource source)
{
    std::string error;
    AdoptionResult adoption = node.publishedState.offerDocument(kind, generation, text, source, error);
    node.metrics.addToCounter("bilberry_documents_offered_total", { { "document", std::string(toText(kind)) }, { "result", std::string(toText(adoption)) } });
    if (adoption == AdoptionResult::Adopted) {
        node.spreadQueue.requestAnnouncement(kind);
        node.metrics.setGauge("bilberry_document_generation", static_cast<double>(generation), { { "document", std::string(toText(kind)) } });
        auto adoptedAt = std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
        node.metrics.setGauge("bilberry_document_adopted_time_seconds", adoptedAt, { { "document", std::string(toText(kind)) } });
        logEvent(LogLevel::Info, "document_adopted", "document={} generation={} source={}", toText(kind), generation, toText(source));
    }
    if (adoption == AdoptionResult::Invalid)
        logEvent(LogLevel::Error, "document_invalid", "document={} generation={} source={} error=\"{}\"", toText(kind), generation, toText(source), error);
    if (adoption == AdoptionResult::Implausible)
        logEvent(LogLevel::Warning, "generation_implausible", "document={} generation={} source={}", toText(kind), generation, toText(source));
    return adoption;
}

} // namespace bilberry
