#include "EntryExplain.h"

#include "EntryNode.h"
#include "EntryRequirements.h"
#include "RefusalDelays.h"
#include "SwitchDrain.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <random>

namespace bilberry {

static const ClientAccount* findAccountByName(const EntryConfiguration& routes, const std::string& name)
{
    auto found = std::find_if(routes.accounts.begin(), routes.accounts.end(), [&](const ClientAccount& account) { return account.name == name; });
    return found == routes.accounts.end() ? nullptr : &*found;
}

static void refuse(RouteReport& report, int status, const char* reason, Milliseconds retryAfter)
{
    report.outcome = "refused";
    report.status = status;
    report.reason = reason;
    report.retryAfter = retryAfter;
}

static std::vector<RouteCandidate> listCandidates(const EntryNode& node, const EndpointRequirements& requirements, TimePoint now)
{
    std::vector<RouteCandidate> candidates;
    for (const auto& row : node.clusterView.endpoints.rows) {
        if (row.record.id.empty() || row.record.service != requirements.service)
            continue;
        auto exclusion = std::string(toText(exclusionOf(row, requirements, node.settings.location, node.clusterView.evacuatedDataCentres, now)));
        if (exclusion == toText(Exclusion::None) && !hasCapacityFor(row, requirements, now))
            exclusion = "full";
        auto loadAge = row.loadReportedAt == TimePoint() ? Milliseconds::max() : std::chrono::duration_cast<Milliseconds>(now - row.loadReportedAt);
        candidates.push_back({ row.record.id, row.record.dataCentre, estimatedLoad(row, now), concurrencyLimit(row, requirements.pace, now), loadAge, std::move(exclusion) });
    }
    return candidates;
}

// Decides as for a new request: it is sent if nobody waits before it and an endpoint has free capacity, else it waits or is refused.
static void decide(EntryNode& node, const RequestSettings& settings, const EndpointRequirements& requirements, const RouteQuestion& question, RouteReport& report, TimePoint now)
{
    static const ServiceQueue emptyQueue;
    auto known = node.queues.find(requirements.service);
    const auto& queue = known == node.queues.end() ? emptyQueue : known->second;
    bool isRanked = settings.service && settings.service->hasRankedRoutes;
    auto rank = rankOf(settings.route, settings.account);
    report.accountPriority = rank.account;
    report.routePriority = rank.route;
    if (isRanked)
        report.isStarved = isStarved(node.rankDemands[requirements.service], rank, now);
    rank.isOrdinary = !report.isStarved;
    const auto* engine = settings.service && settings.service->engine ? &*settings.service->engine : nullptr;
    report.expectedFirstEvent = engine ? expectedTimeToFirstEvent(*engine, question.promptTokens) : Milliseconds(0);
    report.allowedWait = maxQueueWait(settings.route, engine, question.promptTokens, settings.route.timeout);
    report.waitingAhead = countAhead(queue, rank);
    report.expectedWait = isRanked ? expectedRankedWait(queue, node.rankDemands[requirements.service], rank, now) : expectedQueueWait(queue, rank, now);
    auto choice = chooseEndpoint(node.clusterView.endpoints, requirements, node.settings.location, node.clusterView.evacuatedDataCentres, node.random(), now);
    if (choice.row != noEndpoint)
        report.chosen = node.clusterView.endpoints.rows[choice.row].record.id;
    report.outcome = "waits";
    if (choice.row != noEndpoint && report.waitingAhead == 0) {
        report.outcome = "sent";
        report.expectedWait = Milliseconds(0);
        return;
    }
    bool isWaitTooLong = (report.waitingAhead > 0 || isRanked) && report.expectedWait != Milliseconds::max() && report.expectedWait > report.allowedWait;
    if (isWaitTooLong || report.allowedWait <= Milliseconds(0))
        refuse(report, 503, "overloaded", retryAfterDelay(report.expectedWait, 0));
    else if (auto until = allSetAsideUntil(node.clusterView.endpoints, requirements, node.settings.location, node.clusterView.evacuatedDataCentres, now); until && *until >= now + report.allowedWait)
        refuse(report, 503, "endpoints_set_aside", retryAfterSetAside(*until, now, 0));
}

absl::StatusOr<RouteReport> explainRoute(EntryNode& node, const RouteQuestion& question, TimePoint now)
{
    RouteReport report;
    report.viewAge = ageOf(node.clusterView, BootClock::now());
    auto routes = node.clusterView.routes;
    if (!routes) {
        refuse(report, 503, "no_configuration", noConfigurationRetryAfter);
        return report;
    }
    report.generation = routes->generation;
    if (!acceptsRequests(node, now)) {
        refuse(report, 503, "stopping", stoppingRetryAfter);
        return report;
    }
    const auto* account = findAccountByName(*routes, question.account);
    if (!account && !question.account.empty())
        return absl::NotFoundError(absl::StrCat("account \"", question.account, "\": not in configuration ", routes->generation));
    const auto* route = findRoute(*routes, question.host, question.path);
    if (!route) {
        refuse(report, 404, "no_route", Milliseconds(0));
        return report;
    }
    report.route = route->name;
    if (!account && !routes->accounts.empty() && !route->allowsAnonymous) {
        refuse(report, 401, "unknown_key", Milliseconds(0));
        return report;
    }
    if (account && !knowsRevocations(node, BootClock::now())) {
        refuse(report, 503, "revocations_unknown", revocationsUnknownRetryAfter);
        return report;
    }
    if (hasRefusedPart(node.promptSuspects, question.sharedPromptParts)) {
        refuse(report, 503, "crashes_endpoints", crashingRequestRetryAfter);
        return report;
    }
    report.service = chooseService(*route, node.clusterView.endpoints, std::uniform_real_distribution<double>(0, 1)(node.random));
    RequestSettings settings { *route, account, findService(*routes, report.service) };
    auto requirements = requirementsOf(node, settings, report.service, question.model);
    if (requirements.sharesEngines && settings.service->engine)
        requirements.expectedRunTime = expectedRunTime(*settings.service->engine, question.promptTokens, static_cast<uint32_t>(settings.service->engine->typicalAnswerTokens));
    updateRequirements(node, requirements);
    requirements.pace = paceOf(node, settings, report.service, { question.promptTokens, now, rankOf(*route, account) }, now);
    report.candidates = listCandidates(node, requirements, now);
    decide(node, settings, requirements, question, report, now);
    return report;
}

} // namespace bilberry
