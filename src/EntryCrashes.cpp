#include "EntryCrashes.h"

#include "EntryNode.h"

#include <algorithm>
#include <fmt/format.h>

namespace bilberry {

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

void reportCrash(EntryNode& node, const EndpointCrash& crash, TimePoint now)
{
    uint32_t endpoint = endpointHash(crash.endpointId);
    for (uint64_t fingerprint : crash.fingerprints) {
        CrashReport report { fingerprint, endpoint };
        if (node.crashes.addReport(report, now))
            node.peerReports.addCrash(report, ReportSource::Own, now);
    }
    node.hasChangesForPeers = true;
    node.log.write(LogLevel::Warning, "endpoint_crashed", { { "endpoint", crash.endpointId }, { "requests", static_cast<uint64_t>(crash.fingerprints.size()) }, { "prompt_parts", formatPromptParts(crash.promptParts) } });
}

void reportSuspectParts(EntryNode& node, const std::vector<uint64_t>& parts, const std::string& endpointId, TimePoint now)
{
    for (uint64_t part : parts) {
        // The crashes of others beside a common part say nothing about it.
        PartEvidence evidence { part, endpointHash(endpointId) };
        if (isCommonPart(node.promptSuspects, part) || !node.applyPartEvidence(evidence, now))
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
