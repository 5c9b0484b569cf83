#include "EntryStatements.h"

#include "EntryNode.h"

#include <fmt/format.h>

namespace bilberry {

// Time between two log lines on loads that can't be read. An endpoint states its load in each answer.
static constexpr Seconds unreadableLoadLogInterval { 1 };

uint32_t runHash(const std::string& endpointId, WallTime startedAt)
{
    return endpointHash(fmt::format("{}/{}", endpointId, startedAt.time_since_epoch().count()));
}

static void countSetAside(EntryNode& node, SetAsideReason reason)
{
    node.metrics.addToCounter("bilberry_endpoints_set_aside_total", { { "reason", std::string(toText(reason)) } });
}

static void recordLeaving(EntryNode& node, EndpointStatement& statement, const AnswerOrigin& origin, const std::string& endpointId, TimePoint now)
{
    if (!noteLeaving(statement))
        return;
    if (node.peerReports.addLeavingEndpoint(runHash(endpointId, statement.startedAt), ReportSource::Own, now))
        node.hasChangesForPeers = true;
    countSetAside(node, SetAsideReason::Leaving);
    node.log.write(LogLevel::Info, "endpoint_set_aside", { { "endpoint", endpointId }, { "reason", toText(SetAsideReason::Leaving) }, { "request", origin.requestId } });
}

static void recordRetryAfter(EntryNode& node, EndpointStatement& statement, const AnswerOrigin& origin, const std::string& endpointId, Milliseconds retryAfter, TimePoint now)
{
    if (!noteRetryAfter(statement, retryAfter, now))
        return;
    countSetAside(node, SetAsideReason::RetryAfter);
    node.log.write(LogLevel::Info, "endpoint_set_aside", { { "endpoint", endpointId }, { "reason", toText(SetAsideReason::RetryAfter) }, { "request", origin.requestId }, { "asked_ms", retryAfter } });
}

static void noteUnreadableLoad(EntryNode& node, const std::string& requestId, const std::string& endpointId, TimePoint now)
{
    node.metrics.addToCounter("bilberry_loads_unreadable_total");
    if (now - node.unreadableLoadLoggedAt < unreadableLoadLogInterval)
        return;
    node.unreadableLoadLoggedAt = now;
    node.log.write(LogLevel::Warning, "load_unreadable", { { "endpoint", endpointId }, { "request", requestId } });
}

void noteStatement(EntryNode& node, const EndpointReply& reply, const AnswerOrigin& origin, TimePoint now)
{
    const auto& endpointId = reply.endpointId.empty() ? origin.endpointId : reply.endpointId;
    if (reply.isRetryAfterUnreadable)
        node.log.write(LogLevel::Warning, "retry_after_unreadable", { { "endpoint", endpointId }, { "request", origin.requestId } });
    if (reply.isLoadUnreadable)
        noteUnreadableLoad(node, origin.requestId, endpointId, now);
    if (!reply.isLeaving && !reply.retryAfter)
        return;
    auto& statement = node.clusterView.endpoints.statementOf(endpointId, now);
    bool isOfEarlierRun = endpointId == origin.endpointId && statement.startedAt > origin.endpointStartedAt;
    if (isOfEarlierRun)
        return;
    if (reply.isLeaving)
        recordLeaving(node, statement, origin, endpointId, now);
    if (reply.retryAfter)
        recordRetryAfter(node, statement, origin, endpointId, *reply.retryAfter, now);
}

void notePeerLeaving(EntryNode& node, uint32_t leavingRun, ReportSource source, TimePoint now)
{
    if (!node.peerReports.addLeavingEndpoint(leavingRun, source, now))
        return;
    for (auto& row : node.clusterView.endpoints.rows) {
        bool isLeavingRun = !row.record.id.empty() && runHash(row.record.id, row.statement.startedAt) == leavingRun;
        if (!isLeavingRun || !noteLeaving(row.statement))
            continue;
        countSetAside(node, SetAsideReason::Leaving);
        node.log.write(LogLevel::Info, "endpoint_set_aside", { { "endpoint", row.record.id }, { "reason", toText(SetAsideReason::Leaving) }, { "told_by", "peer" } });
    }
}

void logSetAsideEnds(EntryNode& node, TimePoint now)
{
    for (const auto& end : node.clusterView.endpoints.takeSetAsideEnds(now)) {
        node.metrics.addToCounter("bilberry_endpoints_set_aside_ended_total", { { "reason", std::string(toText(end.reason)) } });
        node.log.write(LogLevel::Info, "endpoint_set_aside_ended", { { "endpoint", end.endpointId }, { "reason", toText(end.reason) } });
    }
}

} // namespace bilberry
