#include "ProxiedRequest.h"

#include "EntryCrashes.h"
#include "EntryNode.h"
#include "ServerExchange.h"
#include "VersionSwitch.h"

#include <algorithm>

namespace bilberry {

// Longest time that a request waits for another endpoint after a failed attempt.
static constexpr Milliseconds maxRetryQueueWait { 300 };
// Longest time that a request waits for the entry's first configuration.
static constexpr Milliseconds maxConfigurationWait { 500 };
// Longest time that a request which has already missed its target latency waits in the queue.
static constexpr Milliseconds maxLateQueueWait { 400 };
// Retry-After delay for a request that is refused because the entry has no configuration.
static constexpr Milliseconds noConfigurationRetryAfter { 200 };
// Retry-After delay for a request that is blocked because it crashes endpoints.
static constexpr Milliseconds crashingRequestRetryAfter { 60'000 };

ProxiedRequest::ProxiedRequest(EntryNode& node, uint64_t number, std::shared_ptr<ServerExchange> exchange)
    : node(node)
    , number(number)
    , exchange(std::move(exchange))
    , arrivedAt(this->exchange->receivedAt())
{
}

ProxiedRequest::~ProxiedRequest()
{
    this->discardBody();
}

// When the request must be answered: at its deadline or, if that is earlier, shortly before a stopping entry exits.
TimePoint ProxiedRequest::answerDueAt() const
{
    return std::min(this->deadline, this->node.stopSchedule.answersDueAt);
}

Milliseconds ProxiedRequest::timeLeft(TimePoint now) const
{
    return std::chrono::duration_cast<Milliseconds>(this->answerDueAt() - now);
}

void ProxiedRequest::startProcessing()
{
    auto now = Clock::now();
    this->exchange->onCallerLeft([weak = this->weak_from_this()] {
        if (auto self = weak.lock())
            self->cancelRequest();
    });
    // An entry that has just started receives its configuration shortly, so the request is deferred rather than refused.
    bool isStartingUp = !hasCurrentConfiguration(this->node, now) && now - this->arrivedAt < maxConfigurationWait;
    if (isStartingUp) {
        this->node.requestsAwaitingConfiguration.push_back(this->number);
        return;
    }
    this->admitAndDispatch(now);
}

void ProxiedRequest::admitAndDispatch(TimePoint now)
{
    if (this->isFinished || !this->admitRequest(now))
        return;
    countRequest(this->node.retryWindows[this->requirements.service], this->node.settings.reloadable.retryLimits, now);
    if (this->canAnswerBeforeExit(now))
        this->dispatchOrEnqueue(now);
    else
        this->endForStop(now);
}

// Whether a run that starts now can be answered before a stopping entry exits.
bool ProxiedRequest::canAnswerBeforeExit(TimePoint now) const
{
    return canAttemptEnd(this->node.stopSchedule, this->deadline, this->route->targetLatency, now);
}

// Ends a request whose next attempt couldn't be answered before the entry exits. Another entry takes one that has not run.
void ProxiedRequest::endForStop(TimePoint now)
{
    this->isWaiting = false;
    if (this->attemptTotals.runs == 0)
        this->refuseRequest(503, "stopping", stoppingRetryAfter);
    else
        this->sendFinalAnswer(decideFinalAnswer(this->retryContext(now)));
}

// Chooses one of the route's services at random in proportion to the weights. Services without endpoints are left out; if no
// service remains, the first one is chosen.
static std::string chooseService(const RouteRule& route, const EndpointTable& endpoints, double random)
{
    auto hasEndpoints = [&](const ServiceShare& share) {
        return std::any_of(endpoints.rows.begin(), endpoints.rows.end(), [&](const EndpointRow& row) { return row.isListed && row.record.service == share.service; });
    };
    std::vector<const ServiceShare*> usable;
    double total = 0;
    for (const auto& share : route.services) {
        if (share.weight <= 0 || (route.services.size() > 1 && !hasEndpoints(share)))
            continue;
        usable.push_back(&share);
        total += share.weight;
    }
    if (usable.empty())
        return route.services.front().service;
    double point = random * total;
    for (const auto* share : usable) {
        point -= share->weight;
        if (point < 0)
            return share->service;
    }
    return usable.back()->service;
}

// Checks the request against the configuration and collects what it requires of an endpoint. Returns false if it was refused.
bool ProxiedRequest::admitRequest(TimePoint now)
{
    const auto& request = this->exchange->request();
    this->callerRequest = this->node.adapter.requests.parseCallerRequest(request);
    this->routes = this->node.clusterView.routes;
    // 1. Check that the entry can take the request. Without a configuration it knows neither routes nor keys.
    if (!this->routes) {
        this->refuseRequest(503, "no_configuration", noConfigurationRetryAfter);
        return false;
    }
    if (!acceptsRequests(this->node, now)) {
        this->refuseRequest(503, "stopping", stoppingRetryAfter);
        return false;
    }
    if (this->callerRequest.id.empty()) {
        this->refuseRequest(400, "no_request_id", Milliseconds(0));
        return false;
    }
    // 2. Find the route and the client account, and check what is known of the request from earlier tries.
    this->route = findRoute(*this->routes, findHeader(request.headers, "Host"), request.path);
    if (!this->route) {
        this->refuseRequest(404, "no_route", Milliseconds(0));
        return false;
    }
    if (this->route->kind == RequestKind::Stream && this->callerRequest.hasUnreadableLastEventId) {
        this->refuseRequest(400, "unreadable_last_event_id", Milliseconds(0));
        return false;
    }
    this->account = findAccount(*this->routes, this->callerRequest.apiKey);
    bool needsAccount = !this->routes->accounts.empty() && !this->route->allowsAnonymous;
    if (needsAccount && !this->account) {
        this->refuseRequest(401, "unknown_key", Milliseconds(0));
        return false;
    }
    if (this->account && !knowsRevocations(this->node, BootClock::now())) {
        this->refuseRequest(503, "revocations_unknown", Milliseconds(1000));
        return false;
    }
    this->fingerprint = requestFingerprint(request.method, request.path, this->account ? this->account->name : std::string(), request.body);
    const auto& parts = this->callerRequest.sharedPromptParts;
    this->isPartTrial = hasRefusedPart(this->node.promptSuspects, parts) && tryTakePartTrial(this->node, parts, now);
    if (this->isRefusedForCrashes()) {
        this->refuseRequest(503, "crashes_endpoints", crashingRequestRetryAfter);
        return false;
    }
    this->firstArrivedAt = this->node.refusals.firstArrival(this->fingerprint, this->arrivedAt);
    // 3. Compute the deadline.
    auto budget = std::min(this->callerRequest.timeBudget.value_or(this->route->timeout), this->route->timeout);
    this->deadline = this->arrivedAt + budget;
    // 4. Collect what the request requires of an endpoint.
    this->rank = rankOf(*this->route, this->account);
    double random = std::uniform_real_distribution<double>(0, 1)(this->node.random);
    this->requirements.service = chooseService(*this->route, this->node.clusterView.endpoints, random);
    this->service = findService(*this->routes, this->requirements.service);
    this->requirements.model = this->callerRequest.model;
    if (this->service) {
        for (const auto& model : this->service->models)
            this->requirements.modelLayers = model.name == this->requirements.model ? model.layerCount : this->requirements.modelLayers;
        const auto& bounds = this->node.settings.reloadable;
        if (this->service->maxColdRate > 0)
            this->requirements.maxColdRate = (this->service->maxColdRate * bounds.coldRateFactor + bounds.coldRateAllowance) / entryCount(this->node);
    }
    this->requirements.routeRegions = &this->route->regions;
    this->requirements.accountRegions = this->account ? &this->account->regions : nullptr;
    this->eventStream.lastEventId = this->callerRequest.lastEventId;
    return true;
}

static uint32_t requiredWeightVersion(const EntryNode& node, const std::string& model, BootTimePoint now)
{
    auto found = node.clusterView.namedVersions.find(model);
    return found == node.clusterView.namedVersions.end() ? 0 : oldestAllowedVersion(found->second, node.settings.reloadable.maxVersionSwitchTime, now);
}

// When a request that is at the endpoint and hasn't begun there must be taken back.
static BootTimePoint beginDeadline(const EntryNode& node, const EndpointRow& endpoint, const EndpointRequirements& requirements)
{
    auto found = node.clusterView.namedVersions.find(requirements.model);
    if (!endpoint.record.isModelEngine || found == node.clusterView.namedVersions.end())
        return BootTimePoint::max();
    auto held = servedVersion(endpoint.record, requirements.model, requirements.modelLayers);
    return mustBeginBy(found->second, held, node.settings.reloadable.maxVersionSwitchTime);
}

std::optional<uint32_t> ProxiedRequest::weightVersionToRequire(const EndpointRow& endpoint) const
{
    auto found = this->node.clusterView.namedVersions.find(this->requirements.model);
    if (!endpoint.record.isModelEngine || found == this->node.clusterView.namedVersions.end())
        return std::nullopt;
    return versionToRequire(found->second, servedVersion(endpoint.record, this->requirements.model, this->requirements.modelLayers));
}

// Whether a second run does no harm. Another run can't continue a stream whose events have no IDs.
bool ProxiedRequest::mayRunAgain() const
{
    return mayRepeat(*this->route) && !this->eventStream.hasUnnumberedEvents;
}

RetryContext ProxiedRequest::retryContext(TimePoint now) const
{
    return { this->lastResult, this->mayRunAgain(), this->hasResponseStarted, this->attemptTotals, this->route->maxRuns, this->timeLeft(now) };
}

// Whether the request, or a part of its prompt, is known to crash endpoints.
bool ProxiedRequest::isRefusedForCrashes() const
{
    bool hasPart = !this->isPartTrial && hasRefusedPart(this->node.promptSuspects, this->callerRequest.sharedPromptParts);
    return hasPart || isBlockedForCrashes(this->node.crashes, this->fingerprint);
}

// Ends a request that was admitted before it, or a part of its prompt, was refused.
void ProxiedRequest::refuseForCrashes(TimePoint now)
{
    bool isFirstAttempt = this->attemptTotals.runs + this->attemptTotals.notRun == 0;
    if (isFirstAttempt)
        this->refuseRequest(503, "crashes_endpoints", crashingRequestRetryAfter);
    else
        this->sendFinalAnswer(decideFinalAnswer(this->retryContext(now)));
}

// How fast the request must be answered, where the service's endpoints state their work time.
PaceRequirements ProxiedRequest::paceRequirements(TimePoint now) const
{
    PaceRequirements pace;
    pace.weighsDataCentres = this->service && this->service->hasRankedRoutes;
    if (!statesWorkTimes(this->node.clusterView.endpoints, this->requirements.service, now))
        return pace;
    pace.weighsDataCentres = true;
    pace.engine = this->service && this->service->engine ? &*this->service->engine : nullptr;
    pace.promptTokens = this->callerRequest.promptTokens;
    pace.maxEventGap = this->route->maxEventGap;
    pace.timeToTarget = std::chrono::duration_cast<Milliseconds>(this->firstArrivedAt + this->route->targetLatency - now);
    pace.expectedWait = expectedQueueWait(this->node.queues[this->requirements.service], this->currentRank(now), now);
    return pace;
}

bool ProxiedRequest::tryDispatch(TimePoint now)
{
    if (!this->canAnswerBeforeExit(now) || this->isRefusedForCrashes() || mustWaitForSuspects(this->node.promptSuspects, this->callerRequest.sharedPromptParts))
        return false;
    this->requirements.entryCount = entryCount(this->node);
    this->requirements.nearEntryCount = nearEntryCount(this->node);
    this->requirements.entryHash = std::hash<std::string>()(this->node.settings.ownIp);
    this->requirements.pace = this->paceRequirements(now);
    this->requirements.bootNow = BootClock::now();
    this->requirements.minWeightVersion = requiredWeightVersion(this->node, this->requirements.model, this->requirements.bootNow);
    auto named = this->node.clusterView.namedVersions.find(this->requirements.model);
    this->requirements.namedVersions = named == this->node.clusterView.namedVersions.end() ? nullptr : &named->second;
    this->requirements.maxVersionSwitchTime = this->node.settings.reloadable.maxVersionSwitchTime;
    auto choice = chooseEndpoint(this->node.clusterView.endpoints, this->requirements, this->node.settings.location, this->node.clusterView.evacuatedDataCentres, this->node.random(), now);
    if (choice.row == noEndpoint)
        return false;
    noteRemoteSend(this->node, choice, now);
    this->isWaiting = false;
    if (this->attemptTotals.runs + this->attemptTotals.notRun == 0)
        this->queueTime = std::chrono::duration_cast<Milliseconds>(now - this->arrivedAt);
    this->endpointLoadEstimate = estimatedLoad(this->node.clusterView.endpoints.rows[choice.row], now);
    this->startAttempt(choice.row, now);
    return true;
}

// Whether the request can no longer be answered within its target latency.
bool ProxiedRequest::hasMissedTarget(TimePoint now) const
{
    return now - this->firstArrivedAt >= this->route->targetLatency;
}

// A request whose response has started goes first, so that its caller doesn't wait between events.
RequestRank ProxiedRequest::currentRank(TimePoint now) const
{
    if (this->hasResponseStarted)
        return firstRank;
    auto current = this->rank;
    current.isLate = this->hasMissedTarget(now);
    return current;
}

// A request that can still meet its target latency waits only as long as it can still meet it. One that has missed it waits
// for maxLateQueueWait at most.
Milliseconds ProxiedRequest::allowedQueueWait(TimePoint now) const
{
    if (this->hasMissedTarget(now))
        return std::min(maxLateQueueWait, this->timeLeft(now));
    const EnginePerformance* engine = this->service && this->service->engine ? &*this->service->engine : nullptr;
    auto elapsed = std::chrono::duration_cast<Milliseconds>(now - this->firstArrivedAt);
    return maxQueueWait(*this->route, engine, this->callerRequest.promptTokens, std::min(this->timeLeft(now), this->route->targetLatency - elapsed), typicalWorkTime(this->node.clusterView.endpoints, this->requirements.service, now));
}

bool ProxiedRequest::areAllSetAsideUntil(TimePoint time, TimePoint now) const
{
    const auto& view = this->node.clusterView;
    auto until = allSetAsideUntil(view.endpoints, this->requirements, this->node.settings.location, view.evacuatedDataCentres, now);
    return until && *until >= time;
}

// When a refused request should be sent again: once an endpoint wants requests again, or after the expected time in the queue.
Milliseconds ProxiedRequest::refusalDelay(TimePoint now) const
{
    const auto& view = this->node.clusterView;
    if (auto until = allSetAsideUntil(view.endpoints, this->requirements, this->node.settings.location, view.evacuatedDataCentres, now))
        return retryAfterSetAside(*until, now, this->node.random());
    return retryAfterDelay(expectedQueueWait(this->node.queues[this->requirements.service], this->currentRank(now), now), this->node.random());
}

// Dispatches the request to an endpoint with free capacity, or queues it for as long as it can still meet its target latency,
// or refuses it.
void ProxiedRequest::dispatchOrEnqueue(TimePoint now)
{
    auto& queue = this->node.queues[this->requirements.service];
    bool isFirstAttempt = this->attemptTotals.runs + this->attemptTotals.notRun == 0;
    auto currentRank = this->currentRank(now);
    // 1. Requests that already wait with the same or a higher rank go first.
    if (countAhead(queue, currentRank) == 0 && this->tryDispatch(now))
        return;
    // 2. Refuse a new request that can't be dispatched in time; queue all others.
    auto allowance = isFirstAttempt ? this->allowedQueueWait(now) : std::min(maxRetryQueueWait, this->timeLeft(now));
    auto wait = expectedQueueWait(queue, currentRank, now);
    bool isWaitTooLong = countAhead(queue, currentRank) > 0 && wait != Milliseconds::max() && wait > allowance;
    if (isFirstAttempt && (isWaitTooLong || allowance <= Milliseconds(0))) {
        this->refuseRequest(503, "overloaded", retryAfterDelay(wait, this->node.random()));
        return;
    }
    if (this->areAllSetAsideUntil(now + allowance, now)) {
        this->handleQueueTimeout();
        return;
    }
    enqueueRequest(queue, { this->number, currentRank, this->arrivedAt, now + allowance });
    this->isWaiting = true;
}

void ProxiedRequest::handleQueueTimeout()
{
    this->isWaiting = false;
    auto now = Clock::now();
    bool isFirstAttempt = this->attemptTotals.runs + this->attemptTotals.notRun == 0;
    if (isFirstAttempt) {
        bool areAllSetAside = this->areAllSetAsideUntil(now, now);
        this->refuseRequest(503, areAllSetAside ? "endpoints_set_aside" : "no_free_place", this->refusalDelay(now));
        return;
    }
    this->sendFinalAnswer(decideFinalAnswer(this->retryContext(now)));
}

void ProxiedRequest::handleAttemptResult(AttemptResult result)
{
    auto keepAlive = this->shared_from_this();
    auto now = Clock::now();
    this->lastResult = result;
    countAttempt(this->attemptTotals, result);
    this->node.metrics.addToCounter("bilberry_attempts_total", { { "result", std::string(toText(result)) } });
    this->requirements.triedEndpointIds.push_back(this->endpointId);
    if (result != AttemptResult::Answered) {
        this->node.log.write(LogLevel::Info, "attempt_failed", { { "request", this->callerRequest.id }, { "endpoint", this->endpointId }, { "result", toText(result) }, { "status", this->responseHead.status }, { "stream_fault", toText(this->eventStream.fault) }, { "after_ms", std::chrono::duration_cast<Milliseconds>(now - this->attemptStartedAt) } });
    }
    auto context = this->retryContext(now);
    auto step = decideNextStep(context);
    if (step == NextStep::Deliver)
        this->deliverResponse();
    else if (step == NextStep::TryAnother)
        this->retryRequest(now);
    else
        this->sendFinalAnswer(decideFinalAnswer(context));
    dispatchWaitingRequests(this->node, this->requirements.service);
}

void ProxiedRequest::retryRequest(TimePoint now)
{
    this->isPartTrial = false;
    if (this->isRefusedForCrashes()) {
        this->refuseForCrashes(now);
        return;
    }
    if (!this->canAnswerBeforeExit(now)) {
        this->endForStop(now);
        return;
    }
    bool isWithinBudget = tryTakeRetry(this->node.retryWindows[this->requirements.service], this->node.settings.reloadable.retryLimits, entryCount(this->node), now);
    this->node.metrics.addToCounter("bilberry_repeats_total", { { "result", isWithinBudget ? "sent" : "over_budget" } });
    if (!isWithinBudget) {
        this->sendFinalAnswer(decideFinalAnswer(this->retryContext(now)));
        return;
    }
    discardPartialEvent(this->eventStream);
    this->dispatchOrEnqueue(now);
}

void ProxiedRequest::deliverResponse()
{
    auto headers = forwardableHeaders(this->responseHead.headers);
    if (this->hasResponseStarted) {
        this->exchange->finishResponse();
    } else if (this->route->kind == RequestKind::Stream && isSuccessForRequest(this->responseHead, this->endpointReply, this->callerRequest)) {
        this->exchange->startResponse(this->responseHead.status, headers, {}, nullptr);
        this->exchange->finishResponse();
    } else {
        this->timeToFirstByte = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->arrivedAt);
        this->exchange->sendResponse(this->responseHead.status, headers, this->body);
    }
    this->finishRequest("answered", this->responseHead.status, "");
}

void ProxiedRequest::sendFinalAnswer(FinalAnswer answer)
{
    // A status that promises that the request has not run isn't forwarded, because the request may have run.
    bool promisesNotRun = answer == FinalAnswer::Deliver && promisesNotExecuted(this->responseHead.status);
    if (answer == FinalAnswer::CutOff) {
        this->exchange->abortResponse();
        this->finishRequest("cut_off", 0, toText(this->lastResult).data());
    } else if (answer == FinalAnswer::NotRun) {
        this->refuseRequest(503, "not_run", this->refusalDelay(Clock::now()));
    } else if (answer == FinalAnswer::Deliver && !promisesNotRun) {
        this->deliverResponse();
    } else {
        bool isEndedByStop = answer == FinalAnswer::TimedOut && Clock::now() < this->deadline;
        this->refuseRequest(answer == FinalAnswer::TimedOut ? 504 : 502, isEndedByStop ? "stopping" : toText(this->lastResult).data(), Milliseconds(0));
    }
}

void ProxiedRequest::refuseRequest(int status, const char* reason, Milliseconds retryAfter)
{
    auto headers = retryAfterHeaders(retryAfter);
    headers.emplace_back("Content-Type", "text/plain");
    if (status >= 500 && this->route) {
        auto now = Clock::now();
        this->node.ownRefusals.addRefusal(this->fingerprint, this->firstArrivedAt, now);
        this->node.refusals.addRefusal(this->fingerprint, this->firstArrivedAt, now);
        this->node.hasChangesForPeers = true;
    }
    this->exchange->sendResponse(status, headers, std::string(reason) + "\n");
    this->finishRequest("refused", status, reason);
}

// Handles the caller's disconnection: closes the connection to the endpoint, whose freed capacity goes to waiting requests.
void ProxiedRequest::cancelRequest()
{
    if (this->isFinished)
        return;
    auto keepAlive = this->shared_from_this();
    if (this->hasActiveAttempt()) {
        this->channel->close();
        this->releaseEndpoint(AttemptResult::TimedOut, Clock::now());
    }
    if (this->isWaiting)
        removeWaitingRequest(this->node.queues[this->requirements.service], this->number);
    this->finishRequest("caller_left", 0, "");
    dispatchWaitingRequests(this->node, this->requirements.service);
}

void ProxiedRequest::checkTimeouts(TimePoint now)
{
    if (this->isFinished)
        return;
    if (!this->route) {
        if (now - this->arrivedAt >= maxConfigurationWait)
            this->admitAndDispatch(now);
        return;
    }
    if (this->isWaiting && !this->canAnswerBeforeExit(now) && removeWaitingRequest(this->node.queues[this->requirements.service], this->number)) {
        this->endForStop(now);
        return;
    }
    if (now >= this->answerDueAt()) {
        auto keepAlive = this->shared_from_this();
        if (this->hasActiveAttempt()) {
            this->abandonAttempt(AttemptResult::TimedOut);
            return;
        }
        if (this->isWaiting && removeWaitingRequest(this->node.queues[this->requirements.service], this->number))
            this->handleQueueTimeout();
        return;
    }
    if (this->isWaiting && this->isRefusedForCrashes() && removeWaitingRequest(this->node.queues[this->requirements.service], this->number)) {
        this->isWaiting = false;
        this->refuseForCrashes(now);
        return;
    }
    if (!this->hasActiveAttempt())
        return;
    // The engine must not begin the request on superseded weights. The newer version may have been named after the request
    // was sent.
    const auto& endpoint = this->node.clusterView.endpoints.rows[this->endpointRow];
    bool hasBegun = this->responseHead.status != 0;
    if (!hasBegun && BootClock::now() >= beginDeadline(this->node, endpoint, this->requirements)) {
        this->abandonAttempt(AttemptResult::Silent);
        return;
    }
    if (!this->mayRunAgain() || this->channel->endedWithConnection())
        return;
    bool isFull = endpoint.record.isModelEngine && estimatedLoad(endpoint, now) >= endpoint.record.slots;
    if (now - this->lastReceivedAt >= silenceTimeout({ this->route->targetLatency, isFull, endpoint.lastHeardAt > this->lastReceivedAt }))
        this->abandonAttempt(AttemptResult::Silent);
}

void ProxiedRequest::finishRequest(const char* outcome, int status, const char* reason)
{
    if (this->isFinished)
        return;
    this->isFinished = true;
    auto total = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->arrivedAt);
    this->node.log.write(LogLevel::Info, "request",
        { { "request", this->callerRequest.id }, { "route", this->route ? this->route->name : std::string() }, { "outcome", outcome }, { "status", status }, { "reason", reason },
            { "endpoint", this->endpointId }, { "runs", this->attemptTotals.runs }, { "refusals", this->attemptTotals.notRun }, { "budget_ms", this->callerRequest.timeBudget.value_or(Milliseconds(0)) }, { "fingerprint", this->fingerprint }, { "queued_ms", this->queueTime }, { "first_ms", this->timeToFirstByte }, { "total_ms", total },
            { "load_thought", this->endpointLoadEstimate }, { "load_stated", this->reportedLoad ? static_cast<int>(this->reportedLoad->running + this->reportedLoad->waiting) : -1 }, { "work_time_stated", this->reportedLoad ? this->reportedLoad->workTimePercent.value_or(0) : 0 }, { "belief_age_ms", ageOf(this->node.clusterView, BootClock::now()) },
            { "generation", this->routes ? this->routes->generation : 0 } });
    auto& metrics = this->node.metrics;
    metrics.addToCounter("bilberry_requests_total", { { "outcome", outcome }, { "reason", reason } });
    if (this->attemptTotals.runs + this->attemptTotals.notRun > 0)
        metrics.observeDuration("bilberry_queue_seconds", this->queueTime);
    if (this->timeToFirstByte > Milliseconds(0))
        metrics.observeDuration("bilberry_first_part_seconds", this->timeToFirstByte);
    metrics.observeDuration("bilberry_request_seconds", total);
    this->node.activeRequests.erase(this->number);
}

} // namespace bilberry
