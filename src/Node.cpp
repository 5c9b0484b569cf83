#include "Node.h"

#include "Log.h"

namespace bilberry {

std::string outgoingAddress(const Settings& settings)
{
    const std::string& host = settings.listen.host;
    return host == "0.0.0.0" || host == "::" ? std::string() : host;
}

RowIndex findOwnVm(const Node& node, const Configuration& configuration)
{
    return findRow(configuration.inventory.vms, node.settings.vm);
}

Adoption adoptDocument(Node& node, DocumentKind kind, Generation generation, const std::string& text, const std::string& source)
{
    std::string error;
    Adoption adoption = node.published.offer(kind, generation, text, error);
    node.metrics.count("bilberry_documents_offered_total", { { "document", std::string(toText(kind)) }, { "result", std::string(toText(adoption)) } });
    if (adoption == Adoption::Adopted) {
        node.metrics.set("bilberry_document_generation", static_cast<double>(generation), { { "document", std::string(toText(kind)) } });
        logEvent(LogLevel::Info, "document_adopted", "document={} generation={} source={}", toText(kind), generation, source);
    }
    if (adoption == Adoption::Invalid)
        logEvent(LogLevel::Error, "document_invalid", "document={} generation={} source={} error=\"{}\"", toText(kind), generation, source, error);
    return adoption;
}

} // namespace bilberry
