#include "Entry.h"

#include "Attempt.h"
#include "EntryRequest.h"
#include "HttpClient.h"
#include "Node.h"
#include "SimpleRequestPolicy.h"
#include "StreamRelay.h"
#include "WireHeaders.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fmt/format.h>
#include <random>
#include <thread>

namespace bilberry {

// Interval at which a waiting request checks that its caller is connected and its endpoint is not silent.
static constexpr Milliseconds progressCheckInterval { 100 };
// Bounds of the interval between two tries of a request that waits for an endpoint. Within them, the interval equals the
// time waited so far.
static constexpr Milliseconds minEndpointWaitStep { 50 };
static constexpr Milliseconds maxEndpointWaitStep { 400 };

Entry::Entry(Node& node)
    : node(node)
    , randomState(std::random_device()())
{
}

// Publishes how many endpoints in service this entry knows, by service and model.
static void publishAvailableEndpoints(Metrics& metrics, const RoutingTable& table)
{
    const Inventory& inventory = table.configuration->inventory;
    for (RowIndex service = 0; service < inventory.services.size(); ++service) {
        if (inventory.services[service].kind == ServiceKind::Plain)
            metrics.setGauge("bilberry_available_endpoints", static_cast<double>(countEndpoints(table, { service })), { { "service", inventory.services[service].name }, { "model", "" } });
    }
    for (RowIndex model = 0; model < inventory.models.size(); ++model) {
        RowIndex service = inventory.models[model].service;
        metrics.setGauge("bilberry_available_endpoints", static_cast<double>(countEndpoints(table, { service, model })), { { "service", inventory.services[service].name }, { "model", inventory.models[model].name } });
    }
}

void Entry::tick(TimePoint)
{
    this->router.refreshTable(this->node);
    if (auto table = this->router.table())
        publishAvailableEndpoints(this->node.metrics, *table);
    this->node.metrics.setGauge("bilberry_requests_in_progress", this->requestsInProgress);
}

uint64_t Entry::nextRandom()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    // Advances a SplitMix64 generator.
    this->randomState += 0x9e3779b97f4a7c15;
    uint64_t mixed = this->randomState;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
    return mixed ^ (mixed >> 31);
}

HttpResponse Entry::refuseRequest(const EntryRequest& request, Refusal refusal)
{
    if (this->checkQuarantine(request) == QuarantineDecision::Refuse)
        refusal = makeRefusal(RefusalReason::CrashedEndpoints);
    MetricLabels labels { { "reason", std::string(toText(refusal.reason)) }, { "outcome", std::string(toText(refusal.outcome)) } };
    bool isServiceKnown = request.configuration && request.service != noRow;
    labels["service"] = isServiceKnown ? request.configuration->inventory.services[request.service].name : "";
    labels["caller"] = request.configuration && request.caller != noRow ? request.configuration->inventory.callers[request.caller].name : "";
    this->node.metrics.addToCounter("bilberry_refusals_total", labels);
    HttpResponse response = makeJsonResponse(httpStatus(refusal), problemDetails(refusal));
    response.headers.emplace_back(wire::outcome, std::string(toText(refusal.outcome)));
    if (refusal.retryAfter > Milliseconds(0)) {
        auto seconds = std::chrono::duration_cast<Seconds>(refusal.retryAfter + Milliseconds(999));
        response.headers.emplace_back(wire::retryAfter, std::to_string(seconds.count()));
    }
    return response;
}

static Milliseconds timeLeft(const EntryRequest& request)
{
    return std::chrono::duration_cast<Milliseconds>(request.deadline - Clock::now());
}

// Records the load that the endpoint's process states in each response, as "in progress/limit".
void Entry::recordLoad(const RoutingTable& table, RowIndex vm, const HttpHeaders& headers)
{
    std::vector<std::string> parts = absl::StrSplit(findHeader(headers, wire::load), '/');
    uint32_t inProgress = 0;
    uint32_t limit = 0;
    if (parts.size() == 2 && absl::SimpleAtoi(parts[0], &inProgress) && absl::SimpleAtoi(parts[1], &limit) && limit > 0)
        this->router.recordLoad(table, vm, inProgress, limit);
}

// Waits until the exchange has something to read. Returns false when it gives up: the caller has disconnected, or the
// endpoint is silent and the request may run again at another one.
bool Entry::waitForResponseData(const EntryRequest& request, HttpExchange& exchange, const RoutingTable& table, RowIndex vm)
{
    bool mayGiveUp = !request.isUnrepeatable;
    while (!exchange.waitForProgress(progressCheckInterval)) {
        if (request.httpRequest->isSenderGone && request.httpRequest->isSenderGone()) {
            this->node.metrics.addToCounter("bilberry_callers_gone_total");
            return false;
        }
        if (mayGiveUp && this->router.isEndpointSilent(table, vm))
            return false;
    }
    return true;
}

AttemptResponse Entry::runAttempt(const EntryRequest& request, const RoutingTable& table, RoutingChoice choice, const std::string& lastEventId)
{
    RowIndex vm = choice.vm;
    const std::string& address = table.configuration->inventory.vms[vm].address;
    AttemptParameters parameters { fmt::format("{}-{}-{}", this->node.settings.vm, this->node.incarnation.load(), ++this->attemptCounter), timeLeft(request), computeMaxQueueWait(choice.hasCapacity, timeLeft(request)), lastEventId };
    HttpTimeouts timeouts { std::min(this->node.settings.connectTimeout, parameters.timeLeft), parameters.timeLeft };
    this->node.metrics.addToCounter("bilberry_attempts_total");
    auto exchange = std::make_shared<HttpExchange>(this->node.clients, address, makeForwardedRequest(request, parameters), timeouts);
    if (!this->waitForResponseData(request, *exchange, table, vm))
        return { makeRefusal(RefusalReason::ReplyLost), {}, nullptr };
    const HttpReply& head = exchange->waitForHead();
    if (head.status == 0) {
        if (head.failure == CallFailure::NotSent)
            return { makeRefusal(RefusalReason::ConnectFailed), {}, nullptr };
        exchange.reset();
        return { makeRefusal(RefusalReason::ReplyLost), {}, nullptr };
    }
    if (findHeader(head.headers, wire::attempt) != parameters.id) {
        this->node.metrics.addToCounter("bilberry_answers_dropped_total");
        return { makeRefusal(RefusalReason::ReplyLost), {}, nullptr };
    }
    this->recordLoad(table, vm, head.headers);
    AttemptResponse result { readRefusal(head.headers), {}, nullptr };
    if (result.refusal.reason != RefusalReason::None)
        return result;
    result.response.status = head.status;
    result.response.headers = withoutHopByHopHeaders(head.headers);
    if (isEventStream(head.headers))
        result.stream = exchange;
    else if (!exchange->readRemainingBody(result.response.body))
        result.refusal = makeRefusal(RefusalReason::ReplyLost);
    return result;
}

bool Entry::spendRetryToken(const EntryRequest& request, const Refusal& refusal)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return chargeRetryBudget(this->retryBudgets[request.service], refusal);
}

void Entry::creditRetryBudget(const EntryRequest& request)
{
    const Configuration& configuration = *request.configuration;
    std::lock_guard<std::mutex> lock(this->mutex);
    this->retryBudgets.resize(std::max(this->retryBudgets.size(), configuration.inventory.services.size()));
    creditRetryBudgets(this->retryBudgets[request.service], configuration.rules.services[request.service].retryRatio);
}

// Waits briefly when no endpoint is left to try, or when all that were tried refused because of their state. Returns false
// when the request is to be refused instead.
bool Entry::waitForAvailableEndpoint(const EntryRequest& request, const RoutingTable* table, const Refusal& lastRefusal, Duration& timeWaited)
{
    bool isCallerGone = request.httpRequest->isSenderGone && request.httpRequest->isSenderGone();
    bool isRoutable = table && this->checkQuarantine(request) == QuarantineDecision::Run;
    if (isCallerGone || !isRoutable || usesSimplePolicy())
        return false;
    auto now = Clock::now();
    EndpointWaitState outage { lastRefusal, this->router.timeSinceAvailable(*table, { request.service, request.model, 0 }, now), timeWaited, timeLeft(request) };
    if (!mayWaitForEndpoint(outage))
        return false;
    if (timeWaited == Duration(0))
        this->node.metrics.addToCounter("bilberry_endpoint_waits_total");
    auto step = std::clamp<Duration>(timeWaited, minEndpointWaitStep, maxEndpointWaitStep);
    std::this_thread::sleep_for(step);
    timeWaited += step;
    return true;
}

// Counts a refused attempt and returns whether another endpoint is tried; waits for the backoff where one is due.
bool Entry::prepareRetry(const EntryRequest& request, const Refusal& refusal, AttemptCounts& counts)
{
    countAttempt(counts, refusal);
    if (request.httpRequest->isSenderGone && request.httpRequest->isSenderGone())
        return false;
    AttemptReport report { refusal, !request.isUnrepeatable, false, counts, timeLeft(request) };
    auto decision = decideRetry(report);
    if (usesSimplePolicy())
        return decision != RetryDecision::GiveUp && counts.attempts + counts.staleChoices < simplePolicyMaxAttempts;
    if (decision == RetryDecision::GiveUp)
        return false;
    if (decision == RetryDecision::RetryAfterBackoff) {
        if (!this->spendRetryToken(request, refusal))
            return false;
        auto backoff = computeRetryBackoff(counts.attempts, this->nextRandom());
        if (backoff >= report.timeLeft)
            return false;
        std::this_thread::sleep_for(backoff);
    }
    this->node.metrics.addToCounter("bilberry_retries_total", { { "reason", std::string(toText(refusal.reason)) } });
    return true;
}

HttpResponse Entry::serveRequest(const HttpRequest& httpRequest)
{
    EntryRequest request;
    request.httpRequest = &httpRequest;
    request.receivedAt = Clock::now();
    // Step 1. Parse the request: client account, service and deadline.
    request.configuration = this->node.publishedState.configuration();
    if (!request.configuration)
        return this->refuseRequest(request, makeRefusal(RefusalReason::NoConfiguration));
    auto reason = parseEntryRequest(httpRequest, request);
    if (reason != RefusalReason::None)
        return this->refuseRequest(request, makeRefusal(reason));
    this->creditRetryBudget(request);
    // Step 2. Try one endpoint after the other, as long as a retry is safe and the budget allows it.
    std::vector<RowIndex> triedVms;
    Refusal lastRefusal = makeRefusal(RefusalReason::NoEndpoint);
    Duration timeWaited { 0 };
    AttemptCounts counts;
    while (true) {
        auto table = this->router.table();
        auto choice = table ? this->selectEndpoint(request, *table, triedVms) : RoutingChoice();
        if (choice.vm != noRow) {
            auto result = this->runAttempt(request, *table, choice, {});
            if (result.refusal.reason == RefusalReason::None)
                return this->forwardResponse(request, std::move(result), std::move(table), choice.vm);
            this->router.endRequest(*table, choice.vm);
            this->router.recordRefusal(*table, choice.vm, result.refusal.reason);
            triedVms.push_back(choice.vm);
            lastRefusal = result.refusal;
            if (this->prepareRetry(request, lastRefusal, counts))
                continue;
        }
        // Step 3. No endpoint is left: try all of them again after a wait, or refuse the request.
        if (!this->waitForAvailableEndpoint(request, table.get(), lastRefusal, timeWaited))
            return this->refuseRequest(request, lastRefusal);
        triedVms.clear();
    }
}

HttpResponse Entry::handleRequest(const HttpRequest& httpRequest)
{
    ++this->requestsInProgress;
    HttpResponse response = this->serveRequest(httpRequest);
    if (!response.stream) {
        --this->requestsInProgress;
        return response;
    }
    response.onFinished = [this, previous = std::move(response.onFinished)] {
        if (previous)
            previous();
        --this->requestsInProgress;
    };
    return response;
}

} // namespace bilberry
