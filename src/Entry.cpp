#include "Entry.h"

#include "Attempt.h"
#include "EntryRequest.h"
#include "HttpClient.h"
#include "Node.h"
#include "RequestPolicy.h"
#include "StreamRelay.h"
#include "WireHeaders.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fmt/format.h>
#include <random>
#include <thread>

namespace bilberry {

// How often a waiting request looks at its caller and its endpoint.
static constexpr Milliseconds progressCheckInterval { 100 };
// A request that waits for an endpoint tries again after this time, then after twice of it and so on up to a bound.
static constexpr Milliseconds minEndpointWaitStep { 50 };
static constexpr Milliseconds maxEndpointWaitStep { 400 };

Entry::Entry(Node& node)
    : node(node)
    , randomState(std::random_device()())
{
}

// Tells how many endpoints in service are known to this entry, by what they serve.
static void publishAvailableEndpoints(Metrics& metrics, const RoutingTable& table)
{
    const Inventory& inventory = table.configuration->inventory;
    for (RowIndex service = 0; service < inventory.services.size(); ++service) {
        if (inventory.services[service].kind == ServiceKind::Plain)
            metrics.set("bilberry_available_endpoints", static_cast<double>(countEndpoints(table, { service })), { { "service", inventory.services[service].name }, { "model", "" } });
    }
    for (RowIndex model = 0; model < inventory.models.size(); ++model) {
        RowIndex service = inventory.models[model].service;
        metrics.set("bilberry_available_endpoints", static_cast<double>(countEndpoints(table, { service, model })), { { "service", inventory.services[service].name }, { "model", inventory.models[model].name } });
    }
}

void Entry::tick(TimePoint)
{
    this->router.refreshTable(this->node);
    if (auto table = this->router.table())
        publishAvailableEndpoints(this->node.metrics, *table);
    this->node.metrics.set("bilberry_requests_in_progress", this->requestsInProgress);
}

uint64_t Entry::nextRandom()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    // SplitMix64.
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
    bool isKnown = request.configuration && request.service != noRow;
    labels["service"] = isKnown ? request.configuration->inventory.services[request.service].name : "";
    labels["caller"] = request.configuration && request.caller != noRow ? request.configuration->inventory.callers[request.caller].name : "";
    this->node.metrics.count("bilberry_refusals_total", labels);
    HttpResponse response = jsonResponse(httpStatus(refusal), problemDetails(refusal));
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

// Takes over the load that the endpoint's process states with each answer, as "in progress/limit".
void Entry::recordLoad(const RoutingTable& table, RowIndex vm, const HttpHeaders& headers)
{
    std::vector<std::string> parts = absl::StrSplit(findHeader(headers, wire::load), '/');
    uint32_t inProgress = 0;
    uint32_t limit = 0;
    if (parts.size() == 2 && absl::SimpleAtoi(parts[0], &inProgress) && absl::SimpleAtoi(parts[1], &limit) && limit > 0)
        this->router.recordLoad(table, vm, inProgress, limit);
}

// Waits until the exchange has something to read. False when it is given up: the caller has gone, or nothing is heard
// of the endpoint any more while the request can be run again elsewhere.
bool Entry::waitForResponseData(const EntryRequest& request, HttpExchange& exchange, const RoutingTable& table, RowIndex vm)
{
    bool mayGiveUp = !request.isUnrepeatable;
    while (!exchange.waitForProgress(progressCheckInterval)) {
        if (request.http->isSenderGone && request.http->isSenderGone()) {
            this->node.metrics.count("bilberry_callers_gone_total");
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
    AttemptParameters details { fmt::format("{}-{}-{}", this->node.settings.vm, this->node.incarnation.load(), ++this->attemptCounter), timeLeft(request), computeMaxQueueWait(choice.hasCapacity, timeLeft(request)), lastEventId };
    HttpTimeouts timeouts { std::min(this->node.settings.connectTimeout, details.timeLeft), details.timeLeft };
    this->node.metrics.count("bilberry_attempts_total");
    auto exchange = std::make_shared<HttpExchange>(this->node.clients, address, makeForwardedRequest(request, details), timeouts);
    if (!this->waitForResponseData(request, *exchange, table, vm))
        return { makeRefusal(RefusalReason::ReplyLost), {}, nullptr };
    const HttpReply& head = exchange->waitForHead();
    if (head.status == 0) {
        if (head.failure == CallFailure::NotSent)
            return { makeRefusal(RefusalReason::ConnectFailed), {}, nullptr };
        exchange.reset();
        return { makeRefusal(RefusalReason::ReplyLost), {}, nullptr };
    }
    if (findHeader(head.headers, wire::attempt) != details.id) {
        this->node.metrics.count("bilberry_answers_dropped_total");
        return { makeRefusal(RefusalReason::ReplyLost), {}, nullptr };
    }
    this->recordLoad(table, vm, head.headers);
    AttemptResponse outcome { readRefusal(head.headers), {}, nullptr };
    if (outcome.refusal.reason != RefusalReason::None)
        return outcome;
    outcome.response.status = head.status;
    outcome.response.headers = withoutHopHeaders(head.headers);
    if (isEventStream(head.headers))
        outcome.stream = exchange;
    else if (!exchange->readAll(outcome.response.body))
        outcome.refusal = makeRefusal(RefusalReason::ReplyLost);
    return outcome;
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
    creditRetryBudgets(this->retryBudgets[request.service], configuration.rules.services[request.service].retryShare);
}

// Waits a moment when no endpoint is left that could be tried, or all that were refused for their state; false when the
// request is refused instead.
bool Entry::waitForAvailableEndpoint(const EntryRequest& request, const RoutingTable* table, const Refusal& last, Duration& waited)
{
    bool isGone = request.http->isSenderGone && request.http->isSenderGone();
    bool isRouted = table && this->checkQuarantine(request) == QuarantineDecision::Run;
    if (isGone || !isRouted || usesSimplePolicy())
        return false;
    auto now = Clock::now();
    EndpointOutage gap { last, this->router.timeSinceAvailable(*table, { request.service, request.model, 0 }, now), waited, timeLeft(request) };
    if (!mayWaitForEndpoint(gap))
        return false;
    if (waited == Duration(0))
        this->node.metrics.count("bilberry_endpoint_waits_total");
    auto step = std::clamp<Duration>(waited, minEndpointWaitStep, maxEndpointWaitStep);
    std::this_thread::sleep_for(step);
    waited += step;
    return true;
}

// Counts an attempt that was refused, and tells whether another endpoint is tried; waits before it where that is called for.
bool Entry::prepareRetry(const EntryRequest& request, const Refusal& refusal, AttemptCounts& made)
{
    countAttempt(made, refusal);
    if (request.http->isSenderGone && request.http->isSenderGone())
        return false;
    AttemptReport report { refusal, !request.isUnrepeatable, false, made, timeLeft(request) };
    auto decision = decideRetry(report);
    if (usesSimplePolicy())
        return decision != RetryDecision::GiveUp && made.attempts + made.staleChoices < simplePolicyMaxAttempts;
    if (decision == RetryDecision::GiveUp)
        return false;
    if (decision == RetryDecision::RetryAfterBackoff) {
        if (!this->spendRetryToken(request, refusal))
            return false;
        auto wait = computeRetryBackoff(made.attempts, this->nextRandom());
        if (wait >= report.timeLeft)
            return false;
        std::this_thread::sleep_for(wait);
    }
    this->node.metrics.count("bilberry_retries_total", { { "reason", std::string(toText(refusal.reason)) } });
    return true;
}

HttpResponse Entry::serveRequest(const HttpRequest& http)
{
    EntryRequest request;
    request.http = &http;
    request.receivedAt = Clock::now();
    // Step 1. What is asked, by whom, until when.
    request.configuration = this->node.published.configuration();
    if (!request.configuration)
        return this->refuseRequest(request, makeRefusal(RefusalReason::NoConfiguration));
    auto reason = parseEntryRequest(http, request);
    if (reason != RefusalReason::None)
        return this->refuseRequest(request, makeRefusal(reason));
    this->creditRetryBudget(request);
    // Step 2. One endpoint after the other, as long as a retry is safe and the budget lasts.
    std::vector<RowIndex> tried;
    Refusal last = makeRefusal(RefusalReason::NoEndpoint);
    Duration waited { 0 };
    AttemptCounts made;
    while (true) {
        auto table = this->router.table();
        auto choice = table ? this->selectEndpoint(request, *table, tried) : RoutingChoice();
        if (choice.vm != noRow) {
            auto outcome = this->runAttempt(request, *table, choice, {});
            if (outcome.refusal.reason == RefusalReason::None)
                return this->forwardResponse(request, std::move(outcome), std::move(table), choice.vm);
            this->router.endRequest(*table, choice.vm);
            this->router.recordRefusal(*table, choice.vm, outcome.refusal.reason);
            tried.push_back(choice.vm);
            last = outcome.refusal;
            if (this->prepareRetry(request, last, made))
                continue;
        }
        // Step 3. None is left: all are tried anew after a wait, or the request is refused.
        if (!this->waitForAvailableEndpoint(request, table.get(), last, waited))
            return this->refuseRequest(request, last);
        tried.clear();
    }
}

HttpResponse Entry::handleRequest(const HttpRequest& http)
{
    ++this->requestsInProgress;
    HttpResponse response = this->serveRequest(http);
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
