#include "Gossip.h"

#include "DocumentPropagation.h"
#include "FleetView.h"
#include "JsonRpcBridge.h"
#include "Node.h"
#include "PeerCall.h"

#include <algorithm>

namespace bilberry {

// A peer that does not answer within this time is skipped in this round.
static constexpr Milliseconds exchangeTimeout { 1000 };
// Each request carries up to this many reports that changed recently, so that they need no second message.
static constexpr size_t maxRecentRows = 8;
// Reports whose content changed within this time count as changed recently.
static constexpr Milliseconds maxRecentRowAge { 1000 };
// Minor changes of a report are published at most once in this time multiplied by the number of VMs in the fleet table, so
// that their total rate does not grow with the fleet.
static constexpr Milliseconds minorChangeIntervalPerVm { 4 };

// The VMs that the digest of one exchange covers, and their data centre (empty for all VMs).
namespace {
struct Coverage {
    std::string dataCentre;
    std::vector<std::string> vms;
};
} // namespace

static Coverage makeCoverage(const Node& node, const std::string& dataCentre)
{
    auto configuration = node.publishedState.heldConfiguration();
    if (!configuration)
        return {};
    return { dataCentre, coveredVms(configuration->inventory, dataCentre) };
}

static ExchangeMessage makeMessage(Node& node, const Coverage& coverage, const std::vector<DigestEntry>& digest)
{
    ExchangeMessage message;
    message.vm = node.settings.vm;
    for (int kind = 0; kind < documentKindCount; ++kind)
        message.documents[kind] = node.publishedState.version(static_cast<DocumentKind>(kind));
    if (coverage.vms.empty())
        return message;
    message.dataCentre = coverage.dataCentre;
    message.coveredVmsHash = hashNames(coverage.vms);
    message.digest = packDigest(digest);
    return message;
}

// Returns the other side's digest, or nothing when it does not cover the same VMs.
static std::optional<std::vector<DigestEntry>> readDigest(const ExchangeMessage& message, const Coverage& coverage)
{
    if (coverage.vms.empty() || message.coveredVmsHash != hashNames(coverage.vms))
        return std::nullopt;
    return unpackDigest(message.digest, coverage.vms.size());
}

// Returns this side's reports that the other side lacks or holds in another version.
static std::vector<AgedStatus> differingRows(const Node& node, const Coverage& coverage, const std::vector<DigestEntry>& own, const std::vector<DigestEntry>& other, TimePoint now)
{
    size_t start = static_cast<size_t>(now.time_since_epoch().count()) % coverage.vms.size();
    std::vector<AgedStatus> rows;
    for (size_t position : findDifferences(own, other, start, maxRowsPerMessage)) {
        auto row = node.fleet.find(coverage.vms[position]);
        if (row)
            rows.push_back({ std::move(row->status), std::chrono::duration_cast<Milliseconds>(now - row->reportedAt) });
    }
    return rows;
}

static std::string rejectMessage(Node& node, const char* method)
{
    node.metrics.addToCounter("bilberry_messages_refused_total", { { "method", method } });
    return {};
}

static std::string handleExchange(Node& node, const std::string& parameters)
{
    auto now = Clock::now();
    auto message = parseExchange(parameters);
    // The ages in a message are wrong if it waited in a buffer while this process was paused.
    if (!message || node.pauseGuard.mayBeDelayed(now))
        return rejectMessage(node, "exchange");
    queueFetchesFromVm(node, message->vm, message->documents);
    auto coverage = makeCoverage(node, message->dataCentre);
    mergeRows(node, message->rows, now);
    auto ownDigest = makeDigest(node, coverage.vms, now);
    auto reply = makeMessage(node, coverage, ownDigest);
    auto peerDigest = readDigest(*message, coverage);
    if (peerDigest) {
        mergeDigest(node, coverage.vms, ownDigest, *peerDigest, now);
        reply.rows = differingRows(node, coverage, ownDigest, *peerDigest, now);
    } else {
        reply.rows = recentRows(node, now, reportLifetime, maxRowsPerMessage);
    }
    return toText(reply);
}

static std::string handleReport(Node& node, const std::string& parameters)
{
    auto now = Clock::now();
    auto message = parseExchange(parameters);
    if (!message || node.pauseGuard.mayBeDelayed(now))
        return rejectMessage(node, "report");
    mergeRows(node, message->rows, now);
    return "{}";
}

void addGossipMethods(JsonRpcDispatcher& dispatcher, Node& node)
{
    dispatcher.addMethod("exchange", [&node](const std::string& parameters) { return handleExchange(node, parameters); });
    dispatcher.addMethod("report", [&node](const std::string& parameters) { return handleReport(node, parameters); });
    addPropagationMethods(dispatcher, node);
}

bool exchangeWithPeer(Node& node, const std::string& address, const std::string& dataCentre)
{
    auto sentAt = Clock::now();
    auto coverage = makeCoverage(node, dataCentre);
    auto request = makeMessage(node, coverage, makeDigest(node, coverage.vms, sentAt));
    request.rows = recentRows(node, sentAt, maxRecentRowAge, maxRecentRows);
    auto reply = parseExchange(callPeer(node, address, "exchange", toText(request), exchangeTimeout));
    node.metrics.addToCounter("bilberry_exchanges_total", { { "result", reply ? "ok" : "failed" } });
    if (!reply)
        return false;
    node.pauseGuard.noteAnswer(sentAt);
    // Ages are counted from the time the request was sent. The peer stated them later, so no report looks fresher than it is.
    mergeRows(node, reply->rows, sentAt);
    queueFetchesFromAddress(node, address, reply->documents);
    sendMissingDocuments(node, address, reply->documents);
    auto peerDigest = readDigest(*reply, coverage);
    if (!peerDigest)
        return true;
    auto now = Clock::now();
    auto ownDigest = makeDigest(node, coverage.vms, now);
    mergeDigest(node, coverage.vms, ownDigest, *peerDigest, sentAt);
    ExchangeMessage report = makeMessage(node, {}, {});
    report.rows = differingRows(node, coverage, ownDigest, *peerDigest, now);
    if (!report.rows.empty())
        callPeer(node, address, "report", toText(report), exchangeTimeout);
    return true;
}

void runGossipRound(Node& node, uint64_t round)
{
    auto configuration = node.publishedState.heldConfiguration();
    RowIndex own = configuration ? findOwnVm(node, *configuration) : noRow;
    if (own == noRow) {
        for (const auto& address : node.settings.bootstrapPeers)
            exchangeWithPeer(node, address, {});
        return;
    }
    auto now = Clock::now();
    const Inventory& inventory = configuration->inventory;
    auto isUsable = [&](RowIndex vm) { return memberState(node, *configuration, vm, now) != MemberState::Suspect; };
    for (RowIndex vm : choosePeers(inventory, own, round, isUsable)) {
        const Vm& peer = inventory.vms[vm];
        bool isPartial = coversOneDataCentre(inventory);
        exchangeWithPeer(node, peer.address, isPartial ? inventory.dataCentres[peer.dataCentre].name : std::string());
    }
    node.fleet.expire(now, rowLifetime);
    auto suspects = std::count_if(inventory.vms.begin(), inventory.vms.end(), [&](const Vm& vm) { return !isUsable(static_cast<RowIndex>(&vm - inventory.vms.data())); });
    node.metrics.setGauge("bilberry_suspect_vms", static_cast<double>(suspects));
    node.metrics.setGauge("bilberry_fleet_rows", static_cast<double>(node.fleet.size()));
}

static bool hasSameServedModels(const VmStatus& first, const VmStatus& second)
{
    auto isSame = [](const ServedVersion& one, const ServedVersion& other) { return one.model == other.model && one.digest == other.digest; };
    return std::equal(first.servedModels.begin(), first.servedModels.end(), second.servedModels.begin(), second.servedModels.end(), isSame);
}

static bool hasSameHoldings(const VmStatus& first, const VmStatus& second)
{
    auto isSame = [](const ChunkHolding& one, const ChunkHolding& other) { return one.digest == other.digest && one.chunks == other.chunks; };
    return std::equal(first.holdings.begin(), first.holdings.end(), second.holdings.begin(), second.holdings.end(), isSame);
}

bool shouldPublishStatus(const VmStatus& held, const VmStatus& offered, Duration sinceLast, Duration minorChangeInterval)
{
    bool isSame = held.isLeaving == offered.isLeaving && held.isCold == offered.isCold && held.isConfigurationServiceUnreachable == offered.isConfigurationServiceUnreachable && held.incarnation == offered.incarnation;
    if (!isSame || !hasSameServedModels(held, offered))
        return true;
    bool hasMinorChange = held.admissionLimit != offered.admissionLimit || held.generation != offered.generation || !hasSameHoldings(held, offered);
    return hasMinorChange && sinceLast >= minorChangeInterval;
}

void publishOwnStatus(Node& node, VmStatus status)
{
    auto now = Clock::now();
    status.vm = node.settings.vm;
    status.incarnation = node.incarnation;
    status.generation = node.publishedState.generation(DocumentKind::Configuration);
    status.isConfigurationServiceUnreachable = node.lacksService;
    auto held = node.fleet.find(status.vm);
    if (held) {
        auto minorChangeInterval = minorChangeIntervalPerVm * static_cast<int>(node.fleet.size());
        if (!shouldPublishStatus(held->status, status, now - held->changedAt, minorChangeInterval)) {
            node.fleet.refresh(status.vm, status.requestsInProgress, now);
            return;
        }
    }
    status.sequence = ++node.statusSequence;
    node.fleet.merge(status, Duration(0), now);
}

} // namespace bilberry
