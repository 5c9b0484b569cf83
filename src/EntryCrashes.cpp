#include "EntryCrashes.h"

#include "ConnectionProbe.h"
#include "EntryNode.h"
#include "EntryStatements.h"

#include <algorithm>
#include <fmt/format.h>
#include <memory>
#include <utility>

namespace bilberry {

// Time from a loss to the probe of its endpoint: a process that ends may close its connections a moment before its port.
static constexpr Milliseconds crashProbeDelay { 60 };
static constexpr Milliseconds crashProbeTimeout { 600 };
// Largest number of entries among which the one that sends a trial is chosen.
static constexpr size_t maxTrialEntries = 256;
// Largest number of parts of prompts in one line of the log.
static constexpr size_t maxLoggedPromptParts = 12;

// Writes the ids of parts of prompts for a line of the log.
static std::string formatPromptParts(const std::vector<uint64_t>& parts)
{
    auto count = static_cast<std::ptrdiff_t>(std::min(parts.size(), maxLoggedPromptParts));
    return fmt::format("{:x}", fmt::join(parts.begin(), parts.begin() + count, ","));
}

void reportCrash(EntryNode& node, EndpointRow& row, const std::vector<uint64_t>& fingerprints, TimePoint now)
{
    if (fingerprints.empty())
        return;
    uint32_t run = runHash(row.record.id, row.losses.runStartedAt);
    for (uint64_t fingerprint : fingerprints) {
        CrashReport report { fingerprint, run };
        if (node.crashes.addReport(report, now))
            node.peerReports.addCrash(report, ReportSource::Own, now);
    }
    node.hasChangesForPeers = true;
    auto promptParts = std::exchange(row.losses.promptParts, {});
    node.log.write(LogLevel::Warning, "endpoint_crashed", { { "endpoint", row.record.id }, { "requests", static_cast<uint64_t>(fingerprints.size()) }, { "prompt_parts", formatPromptParts(promptParts) } });
}

static EndpointRow* findRow(EntryNode& node, const std::string& endpointId)
{
    auto& table = node.clusterView.endpoints;
    auto found = table.rowById.find(endpointId);
    return found == table.rowById.end() ? nullptr : &table.rows[found->second];
}

static void applyProbeResult(EntryNode& node, const std::string& endpointId, ProbeResult result)
{
    node.metrics.addToCounter("bilberry_crash_probes_total", { { "result", std::string(toText(result)) } });
    auto* row = findRow(node, endpointId);
    if (!row)
        return;
    row->losses.isBeingProbed = false;
    reportCrash(node, *row, takeLossesAfterProbe(row->losses, result, row->inFlight), Clock::now());
}

void verifyLosses(EntryNode& node, EndpointRow& row)
{
    row.losses.isBeingProbed = true;
    auto timer = std::make_shared<LoopTimer>(node.loop, crashProbeDelay);
    timer->async_wait([&node, timer, id = row.record.id, address = row.record.address](const boost::system::error_code&) {
        probeConnection(node.loop, address, crashProbeTimeout, [&node, id](ProbeResult result) { applyProbeResult(node, id, result); });
    });
}

void noteEndedRun(EntryNode& node, const std::string& endpointId, TimePoint now)
{
    auto* row = findRow(node, endpointId);
    if (!row || row->losses.fingerprints.empty())
        return;
    bool isRemoved = row->listedUntil != TimePoint::max();
    bool hasRestarted = row->statement.startedAt > row->losses.runStartedAt;
    if (isRemoved || hasRestarted)
        reportCrash(node, *row, takeLossesOfEndedRun(row->losses, row->lastHeardAt, now), now);
}

void reportSuspectParts(EntryNode& node, const std::vector<uint64_t>& parts, uint32_t run, TimePoint now)
{
    for (uint64_t part : parts) {
        PartEvidence evidence { part, run };
        if (!node.applyPartEvidence(evidence, now))
            continue;
        node.peerReports.addPartEvidence(evidence, ReportSource::Own, now);
        node.hasChangesForPeers = true;
    }
}

void reportAnsweredParts(EntryNode& node, const std::vector<uint64_t>& parts, TimePoint now)
{
    for (uint64_t part : parts) {
        PartEvidence clearance { part, 0, static_cast<uint32_t>(node.random()) };
        if (!node.applyPartEvidence(clearance, now))
            continue;
        node.peerReports.addPartEvidence(clearance, ReportSource::Own, now);
        node.hasChangesForPeers = true;
    }
}

bool tryTakePartTrial(EntryNode& node, const std::vector<uint64_t>& parts, TimePoint now)
{
    std::vector<std::string> entries;
    for (const auto& peer : knownPeers(node.peers.table(), 0, maxTrialEntries, now))
        entries.push_back(peer.ip);
    if (!isTrialDue(node.promptSuspects, parts, node.settings.ownIp, entries, now))
        return false;
    noteTrial(node.promptSuspects, parts, now);
    node.log.write(LogLevel::Info, "prompt_part_tried", { { "prompt_parts", formatPromptParts(parts) } });
    return true;
}

} // namespace bilberry
