#include "Entry.h"

#include "Digest.h"
#include "HttpClient.h"
#include "KeyOwner.h"
#include "Node.h"
#include "Rendezvous.h"
#include "WireHeaders.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace bilberry {

using nlohmann::json;

// Longest time that a key query may take.
static constexpr Milliseconds keyQueryTimeout { 1000 };

/// A caller's request with all that the configuration says of it.
struct EntryRequest {
    const HttpRequest* http = nullptr;
    ConfigurationPointer configuration;
    RowIndex service = noRow;
    RowIndex model = noRow;
    RowIndex caller = noRow;
    bool isUnrepeatable = false;
    bool isStream = false;
    std::string key;
    TimePoint receivedAt {};
    TimePoint deadline {};
};

/// What one attempt brought: a response to pass on, or a refusal.
struct AttemptOutcome {
    Refusal refusal;
    HttpResponse response;
};

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

static RowIndex findCaller(const Inventory& inventory, const HttpHeaders& headers)
{
    std::string authorization = findHeader(headers, "Authorization");
    if (authorization.rfind("Bearer ", 0) == 0) {
        std::string digest = sha256Hex(authorization.substr(7));
        for (RowIndex index = 0; index < inventory.callers.size(); ++index) {
            if (inventory.callers[index].keySha256 == digest)
                return index;
        }
        return noRow;
    }
    RowIndex named = findRow(inventory.callers, findHeader(headers, wire::account));
    bool needsKey = named != noRow && !inventory.callers[named].keySha256.empty();
    return needsKey ? noRow : named;
}

static Milliseconds chooseTimeout(const HttpHeaders& headers, const ServiceRule& rule)
{
    int64_t wanted = 0;
    bool isNumber = absl::SimpleAtoi(findHeader(headers, wire::timeoutMs), &wanted);
    return isNumber && wanted > 0 ? std::min(Milliseconds(wanted), rule.maxTimeout) : rule.defaultTimeout;
}

// Reads what a model request's body says; false when it is no JSON object with a model.
static bool readModelBody(const std::string& body, std::string& model, bool& isStream)
{
    auto document = json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("model") || !document["model"].is_string())
        return false;
    model = document["model"].get<std::string>();
    auto stream = document.find("stream");
    isStream = stream != document.end() && stream->is_boolean() && stream->get<bool>();
    return true;
}

RefusalReason Entry::readRequest(const HttpRequest& http, const Configuration& configuration, EntryRequest& request) const
{
    const Inventory& inventory = configuration.inventory;
    request.caller = findCaller(inventory, http.headers);
    if (request.caller == noRow)
        return RefusalReason::UnknownCaller;
    std::string path = http.path.substr(0, http.path.find('?'));
    std::string model;
    if (path.rfind("/v1/", 0) == 0) {
        if (!readModelBody(http.body, model, request.isStream))
            return RefusalReason::BadRequest;
        request.model = findRow(inventory.models, model);
    }
    request.service = findService(inventory, path, model);
    if (request.service == noRow)
        return RefusalReason::UnknownService;
    request.isUnrepeatable = isUnrepeatable(configuration.rules, request.service, http.method, path);
    request.key = request.isUnrepeatable ? findHeader(http.headers, wire::idempotencyKey) : std::string();
    request.deadline = request.receivedAt + chooseTimeout(http.headers, configuration.rules.services[request.service]);
    return RefusalReason::None;
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

RowIndex Entry::chooseVm(const EntryRequest& request, const RoutingTable& table, const std::vector<RowIndex>& tried)
{
    if (request.key.empty())
        return this->router.choose(table, { request.service, request.model }, tried, this->nextRandom());
    const Inventory& inventory = request.configuration->inventory;
    auto scopedKey = makeScopedKey(inventory.services[request.service].name, inventory.callers[request.caller].name, request.key);
    RowIndex owner = chooseKeyOwner(table, request.service, scopedKey, tried);
    if (owner != noRow)
        this->router.acquire(owner);
    return owner;
}

static HttpRequest toEndpoint(const EntryRequest& request, const std::string& attemptId, Milliseconds timeLeft)
{
    const Inventory& inventory = request.configuration->inventory;
    HttpRequest forwarded = *request.http;
    forwarded.path = wire::forwardPrefix + request.http->path;
    forwarded.headers = withoutHopHeaders(request.http->headers);
    forwarded.headers.emplace_back(wire::attempt, attemptId);
    forwarded.headers.emplace_back(wire::deadlineMs, std::to_string(timeLeft.count()));
    forwarded.headers.emplace_back(wire::generation, std::to_string(request.configuration->generation));
    forwarded.headers.emplace_back(wire::service, inventory.services[request.service].name);
    forwarded.headers.emplace_back(wire::caller, inventory.callers[request.caller].name);
    forwarded.headers.emplace_back(wire::unrepeatable, request.isUnrepeatable ? "1" : "0");
    if (request.model != noRow)
        forwarded.headers.emplace_back(wire::model, inventory.models[request.model].name);
    return forwarded;
}

// The refusal that an endpoint's process answered, or None when it passes a back end's answer on.
static Refusal readRefusal(const HttpHeaders& headers)
{
    if (findHeader(headers, wire::outcome) == toText(Outcome::Ran))
        return {};
    auto reason = parseRefusalReason(findHeader(headers, wire::reason));
    Refusal refusal = makeRefusal(reason.value_or(RefusalReason::ReplyLost));
    refusal.isFromOwner = refusal.reason != RefusalReason::KeyNotOwned && refusal.reason != RefusalReason::NoConfiguration;
    return refusal;
}

static bool isEventStream(const HttpHeaders& headers)
{
    return findHeader(headers, "Content-Type").rfind("text/event-stream", 0) == 0;
}

// Passes a stream on; one that breaks ends with an error event, so that it can't be taken for a whole one.
static void attachStream(HttpResponse& response, std::shared_ptr<HttpExchange> exchange)
{
    response.stream = [exchange = std::move(exchange), hasBroken = false](std::string& piece) mutable {
        if (hasBroken)
            return BodyStep::Broken;
        auto step = exchange->readPiece(piece);
        if (step != BodyStep::Broken)
            return step;
        hasBroken = true;
        piece = "event: error\ndata: " + problemDetails(makeRefusal(RefusalReason::StreamCut)) + "\n\n";
        return BodyStep::More;
    };
}

AttemptOutcome Entry::askKeyOwner(const EntryRequest& request, const std::string& address, const std::string& attemptId)
{
    const Inventory& inventory = request.configuration->inventory;
    HttpRequest query { "POST", "/key-query", { { wire::idempotencyKey, request.key }, { wire::attempt, attemptId } }, {} };
    query.headers.emplace_back(wire::idempotencyMinted, findHeader(request.http->headers, wire::idempotencyMinted));
    query.headers.emplace_back(wire::service, inventory.services[request.service].name);
    query.headers.emplace_back(wire::caller, inventory.callers[request.caller].name);
    auto reply = this->node.clients.call(address, query, { this->node.settings.connectTimeout, keyQueryTimeout }, maxConfigurationBytes);
    if (reply.failure != CallFailure::None || reply.status == 0)
        return { makeRefusal(RefusalReason::ReplyLost), {} };
    AttemptOutcome outcome { readRefusal(reply.headers), {} };
    outcome.response.status = reply.status;
    outcome.response.headers = withoutHopHeaders(reply.headers);
    outcome.response.body = reply.body;
    return outcome;
}

AttemptOutcome Entry::attempt(const EntryRequest& request, const RoutingTable& table, RowIndex vm)
{
    const std::string& address = table.configuration->inventory.vms[vm].address;
    auto attemptId = fmt::format("{}-{}-{}", this->node.settings.vm, this->node.incarnation.load(), ++this->attemptCounter);
    auto timeLeft = std::chrono::duration_cast<Milliseconds>(request.deadline - Clock::now());
    HttpTimeouts timeouts { this->node.settings.connectTimeout, timeLeft };
    this->node.metrics.count("bilberry_attempts_total");
    auto exchange = std::make_shared<HttpExchange>(this->node.clients, address, toEndpoint(request, attemptId, timeLeft), timeouts);
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
    auto reason = this->readRequest(http, *request.configuration, request);
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
