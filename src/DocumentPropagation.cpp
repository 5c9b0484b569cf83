#include "DocumentPropagation.h"

#include "FleetView.h"
#include "JsonRpcBridge.h"
#include "Node.h"
#include "PeerCall.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace bilberry {

using nlohmann::json;

// An announcement is small, so the timeout is short. A peer that misses it learns of the document in its next exchange.
static constexpr Milliseconds announceTimeout { 500 };

// Returns whether the peer holds a newer version that is worth fetching. Counts a conflict when the peer's document has the
// same generation with other bytes, which is a fault of the platform.
static bool isPeerAhead(Node& node, DocumentKind kind, const DocumentVersion& offered)
{
    auto held = node.publishedState.version(kind);
    bool isConflict = held.generation != 0 && held.generation == offered.generation && held.digest != offered.digest;
    if (isConflict)
        node.metrics.addToCounter("bilberry_document_conflicts_total", { { "document", std::string(toText(kind)) } });
    return node.publishedState.shouldFetch(kind, offered);
}

void queueFetchesFromAddress(Node& node, const std::string& address, const DocumentVersion (&versions)[documentKindCount])
{
    for (int i = 0; i < documentKindCount; ++i) {
        auto kind = static_cast<DocumentKind>(i);
        if (isPeerAhead(node, kind, versions[i]))
            node.spreadQueue.requestFetch(kind, { address, versions[i] });
    }
}

// Returns the address of a configured VM, or an empty string. Documents are fetched only from such addresses, never from an
// address that a message contains.
static std::string findAddress(const Node& node, const std::string& vm)
{
    auto configuration = node.publishedState.heldConfiguration();
    RowIndex row = configuration ? findRow(configuration->inventory.vms, vm) : noRow;
    return row == noRow ? std::string() : configuration->inventory.vms[row].address;
}

void queueFetchesFromVm(Node& node, const std::string& vm, const DocumentVersion (&versions)[documentKindCount])
{
    auto address = findAddress(node, vm);
    if (!address.empty())
        queueFetchesFromAddress(node, address, versions);
}

static std::string handleAnnounce(Node& node, const std::string& parameters)
{
    auto announcement = parseAnnouncement(parameters);
    if (!announcement) {
        node.metrics.addToCounter("bilberry_messages_refused_total", { { "method", "announce" } });
        return {};
    }
    auto address = findAddress(node, announcement->vm);
    if (!address.empty() && isPeerAhead(node, announcement->kind, announcement->document))
        node.spreadQueue.requestFetch(announcement->kind, { address, announcement->document });
    return "{}";
}

// Returns the message in which a document is sent to a peer.
static std::string makeDocumentMessage(const Node& node, DocumentKind kind)
{
    auto document = node.publishedState.document(kind);
    json object { { "kind", static_cast<int>(kind) }, { "generation", document.generation }, { "text", document.text } };
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Offers the document of such a message for adoption, which checks its text. Returns false if the message is malformed or
// the text is too large.
static bool adoptPeerDocument(Node& node, const std::string& message, DocumentKind kind)
{
    auto object = json::parse(message, nullptr, false);
    bool isDocument = object.is_object() && object.contains("generation") && object["generation"].is_number_unsigned() && object.contains("text") && object["text"].is_string();
    if (!isDocument || object["text"].get_ref<const std::string&>().size() > maxConfigurationBytes)
        return false;
    adoptDocument(node, kind, object["generation"].get<Generation>(), object["text"].get<std::string>(), DocumentSource::Peer);
    return true;
}

// Returns the document kind that a message states by its number, or nothing if it is missing or unknown.
static std::optional<DocumentKind> parseDocumentKind(const std::string& parameters)
{
    auto message = json::parse(parameters, nullptr, false);
    if (!message.is_object() || !message.contains("kind") || !message["kind"].is_number_integer())
        return std::nullopt;
    auto kind = message["kind"].get<int64_t>();
    if (kind < 0 || kind >= documentKindCount)
        return std::nullopt;
    return static_cast<DocumentKind>(kind);
}

static std::string handleDocument(Node& node, const std::string& parameters)
{
    auto kind = parseDocumentKind(parameters);
    return kind ? makeDocumentMessage(node, *kind) : std::string();
}

static std::string handleOffer(Node& node, const std::string& parameters)
{
    auto kind = parseDocumentKind(parameters);
    bool isAccepted = kind && adoptPeerDocument(node, parameters, *kind);
    return isAccepted ? "{}" : std::string();
}

void sendMissingDocuments(Node& node, const std::string& address, const DocumentVersion (&versions)[documentKindCount])
{
    for (int i = 0; i < documentKindCount; ++i) {
        auto kind = static_cast<DocumentKind>(i);
        if (versions[i].generation == 0 && node.publishedState.generation(kind) != 0)
            callPeer(node, address, "offer", makeDocumentMessage(node, kind), node.settings.callTimeout);
    }
}

void addPropagationMethods(JsonRpcDispatcher& dispatcher, Node& node)
{
    dispatcher.addMethod("offer", [&node](const std::string& parameters) { return handleOffer(node, parameters); });
    dispatcher.addMethod("announce", [&node](const std::string& parameters) { return handleAnnounce(node, parameters); });
    dispatcher.addMethod("document", [&node](const std::string& parameters) { return handleDocument(node, parameters); });
}

static void fetchDocument(Node& node, const std::string& address, DocumentKind kind)
{
    auto parameters = json { { "kind", static_cast<int>(kind) } }.dump();
    bool isDocument = adoptPeerDocument(node, callPeer(node, address, "document", parameters, node.settings.callTimeout), kind);
    node.metrics.addToCounter("bilberry_document_fetches_total", { { "document", std::string(toText(kind)) }, { "result", isDocument ? "ok" : "failed" } });
}

static void announceDocument(Node& node, DocumentKind kind)
{
    auto configuration = node.publishedState.heldConfiguration();
    RowIndex own = configuration ? findOwnVm(node, *configuration) : noRow;
    if (own == noRow)
        return;
    auto now = Clock::now();
    auto text = toText(Announcement { node.settings.vm, kind, node.publishedState.version(kind) });
    auto isUsable = [&](RowIndex vm) { return memberState(node, *configuration, vm, now) != MemberState::Suspect; };
    auto seed = static_cast<uint64_t>(now.time_since_epoch().count());
    for (RowIndex vm : chooseAnnouncePeers(configuration->inventory, own, seed, isUsable))
        callPeer(node, configuration->inventory.vms[vm].address, "announce", text, announceTimeout);
}

void processPropagationQueue(Node& node, Milliseconds wait)
{
    auto work = node.spreadQueue.takeWork(wait);
    for (size_t i = 0; i < documentKindCount; ++i) {
        auto kind = static_cast<DocumentKind>(i);
        const DocumentFetchRequest& fetch = work.fetches[i];
        // The document may have been adopted from another source since the fetch was queued.
        if (!fetch.peerAddress.empty() && node.publishedState.shouldFetch(kind, fetch.offered))
            fetchDocument(node, fetch.peerAddress, kind);
    }
    for (size_t i = 0; i < documentKindCount; ++i) {
        if (work.announcements[i])
            announceDocument(node, static_cast<DocumentKind>(i));
    }
}

} // namespace bilberry
