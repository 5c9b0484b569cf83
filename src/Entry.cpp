#include "Entry.h"

#include "Attempt.h"
#include "EntryRequest.h"
#include "HttpClient.h"
#include "Node.h"
#include "ServiceLevel.h"
#include "StreamRelay.h"
#include "WireHeaders.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>
#include <thread>

namespace bilberry {

Entry::Entry(Node& node)
    : node(node)
    , randomState(std::random_device()())
{
}

void Entry::tick(TimePoint)
{
    this->router.refresh(this->node);
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

HttpResponse Entry::refuse(const EntryRequest& request, Refusal refusal)
{
    bool isKeyed = request.configuration ? !request.key.empty() : !findHeader(request.http->headers, wire::idempotencyKey).empty();
    if (isKeyed)
        refusal = refusalForKey(refusal);
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

AttemptOutcome Entry::attempt(const EntryRequest& request, const RoutingTable& table, RowIndex vm)
{
    const std::string& address = table.configuration->inventory.vms[vm].address;
    auto attemptId = fmt::format("{}-{}-{}", this->node.settings.vm, this->node.incarnation.load(), ++this->attemptCounter);
    auto timeLeft = std::chrono::duration_cast<Milliseconds>(request.deadline - Clock::now());
    HttpTimeouts timeouts { this->node.settings.connectTimeout, timeLeft };
    this->node.metrics.count("bilberry_attempts_total");
    auto exchange = std::make_shared<HttpExchange>(this->node.clients, address, makeForwardedRequest(request, attemptId, timeLeft), timeouts);
    const HttpReply& head = exchange->waitForHead();
    if (head.status == 0) {
        if (head.failure == CallFailure::NotSent)
            return { makeRefusal(RefusalReason::ConnectFailed), {} };
        exchange.reset();
        return request.key.empty() ? AttemptOutcome { makeRefusal(RefusalReason::ReplyLost), {} } : this->askKeyOwner(request, address, attemptId);
    }
    if (findHeader(head.headers, wire::attempt) != attemptId)
        return { makeRefusal(RefusalReason::ReplyLost), {} };
    AttemptOutcome outcome { readRefusal(head.headers), {} };
    if (outcome.refusal.reason != RefusalReason::None)
        return outcome;
    outcome.response.status = head.status;
    outcome.response.headers = withoutHopHeaders(head.headers);
    if (isEventStream(head.headers))
        attachStream(outcome.response, exchange);
    else if (!exchange->readAll(outcome.response.body))
        outcome.refusal = makeRefusal(RefusalReason::ReplyLost);
    return outcome;
}

bool Entry::spendRetry(const EntryRequest& request)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return takeFromBudget(this->budgets[request.service]);
}

HttpResponse Entry::serve(const HttpRequest& http)
{
    EntryRequest request;
    request.http = &http;
    request.receivedAt = Clock::now();
    // Step 1. What is asked, by whom, until when.
    request.configuration = this->node.published.configuration();
    if (!request.configuration)
        return this->refuse(request, makeRefusal(RefusalReason::NoConfiguration));
    auto reason = readEntryRequest(http, request);
    if (reason != RefusalReason::None)
        return this->refuse(request, makeRefusal(reason));
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->budgets.resize(std::max(this->budgets.size(), request.configuration->inventory.services.size()));
        addToBudget(this->budgets[request.service], request.configuration->rules.services[request.service].retryShare);
    }
    // Step 2. One endpoint after the other, as long as a retry is safe and the budget lasts.
    std::vector<RowIndex> tried;
    Refusal last = makeRefusal(RefusalReason::NoEndpoint);
    for (int attempts = 1;; ++attempts) {
        auto table = this->router.table();
        RowIndex vm = table ? this->chooseVm(request, *table, tried) : noRow;
        if (vm == noRow)
            return this->refuse(request, last);
        auto outcome = this->attempt(request, *table, vm);
        if (outcome.refusal.reason == RefusalReason::None) {
            // Step 3. The answer, with the endpoint counted until its last byte.
            outcome.response.headers.emplace_back(wire::outcome, std::string(toText(Outcome::Ran)));
            if (outcome.response.stream)
                outcome.response.onFinished = [this, vm] { this->router.release(vm); };
            else
                this->router.release(vm);
            const Inventory& inventory = request.configuration->inventory;
            MetricLabels labels { { "service", inventory.services[request.service].name }, { "caller", inventory.callers[request.caller].name } };
            this->node.metrics.count("bilberry_requests_answered_total", labels);
            this->node.metrics.observe("bilberry_first_byte_seconds", Clock::now() - request.receivedAt, labels);
            watchAnswer(this->node.metrics, outcome.response, labels, Clock::now() - request.receivedAt, request.configuration->rules.services[request.service].latencyObjective);
            return std::move(outcome.response);
        }
        this->router.release(vm);
        tried.push_back(vm);
        last = outcome.refusal;
        AttemptReport report { last, !request.isUnrepeatable, false, attempts, std::chrono::duration_cast<Milliseconds>(request.deadline - Clock::now()) };
        // What a key's owner says is not better known elsewhere.
        bool isSettled = !request.key.empty() && last.isFromOwner;
        if (isSettled || decideRetry(report) == RetryDecision::GiveUp)
            return this->refuse(request, last);
        if (!this->spendRetry(request))
            return this->refuse(request, last);
        this->node.metrics.count("bilberry_retries_total", { { "reason", std::string(toText(last.reason)) } });
        std::this_thread::sleep_for(backOff(attempts, this->nextRandom()));
    }
}

HttpResponse Entry::handle(const HttpRequest& http)
{
    ++this->requestsInProgress;
    HttpResponse response = this->serve(http);
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
