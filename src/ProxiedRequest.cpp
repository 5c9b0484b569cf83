#include "ProxiedRequest.h"

#include "EntryCrashes.h"
#include "EntryNode.h"
#include "EntryRequirements.h"
#include "RefusalDelays.h"
#include "ServerExchange.h"
#include "SwitchDrain.h"
#include "VersionSwitch.h"

#include <algorithm>

namespace bilberry {

// Longest time that a request waits for another endpoint after a failed attempt.
static constexpr Milliseconds maxRetryQueueWait { 300 };
// Longest time that a request waits for the entry's first configuration.
static constexpr Milliseconds maxConfigurationWait { 500 };
// Longest time that a request which has already missed its target latency waits in the queue.
static constexpr Milliseconds maxLateQueueWait { 400 };

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
    this->countForHedges(now);
    if (this->isRanked())
        countArrival(this->node.rankDemands[this->requirements.service], this->rank, now);
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
        this->refuseRequest(503, "revocations_unknown", revocationsUnknownRetryAfter);
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
    auto chosen = chooseService(*this->route, this->node.clusterView.endpoints, random);
    this->service = findService(*this->routes, chosen);
    this->requirements = requirementsOf(this->node, { *this->route, this->account, this->service }, chosen, this->callerRequest.model);
    if (this->requirements.sharesEngines && this->service->engine)
        this->requirements.expectedRunTime = expectedRunTime(*this->service->engine, this->callerRequest.promptTokens, expectedAnswerTokens(this->callerRequest, *this->service->engine));
    this->eventStream.lastEventId = this->callerRequest.lastEventId;
    this->demand = noteArrivedDemand(this->node, { this->service, this->account, this->callerRequest, this->rank, this->firstArrivedAt < this->arrivedAt }, now);
    return true;
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

bool ProxiedRequest::tryDispatch(TimePoint now)
{
    if (!this->canAnswerBeforeExit(now) || this->isRefusedForCrashes() || mustWaitForSuspects(this->node.promptSuspects, this->callerRequest.sharedPromptParts))
        return false;
    updateRequirements(this->node, this->requirements);
    this->requirements.pace = paceOf(this->node, { *this->route, this->account, this->service }, this->requirements.service, { this->callerRequest.promptTokens, this->firstArrivedAt, this->currentRank(now) }, now);
    auto choice = chooseEndpoint(this->node.clusterView.endpoints, this->requirements, this->node.settings.location, this->node.clusterView.evacuatedDataCentres, this->node.random(), now);
    if (choice.row == noEndpoint)
        return false;
    noteRemoteSend(this->node, choice, now);
    this->isWaiting = false;
    if (this->attemptTotals.runs + this->attemptTotals.notRun == 0)
        this->noteFirstDispatch(now);
    this->endpointLoadEstimate = estimatedLoad(this->node.clusterView.endpoints.rows[choice.row], now);
    this->startAttempt(choice.row, now);
    return true;
}

void ProxiedRequest::noteFirstDispatch(TimePoint now)
{
    this->queueTime = std::chrono::duration_cast<Milliseconds>(now - this->arrivedAt);
    if (this->isRanked())
        countRankDispatch(this->node.rankDemands[this->requirements.service], this->rank, now);
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
    current.isBeyondShare = isAccountBeyondShare(this->node, this->demand);
    current.isLate = this->hasMissedTarget(now);
    if (!this->isRanked())
        return current;
    current.isNew = !this->isReturning();
    current.isOrdinary = !isStarved(this->node.rankDemands[this->requirements.service], this->rank, now);
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
    return this->loadRetryAfter(this->expectedWait(this->currentRank(now), now));
}

// When a request that was refused for lack of room should be sent again. Another entry takes it while this one stops.
Milliseconds ProxiedRequest::loadRetryAfter(Milliseconds wait) const
{
    bool isStopping = this->node.stopRequestedAt != TimePoint::max();
    return isStopping ? stoppingRetryAfter : retryAfterDelay(wait, this->node.random());
}

// Whether requests of different priority compete for the service.
bool ProxiedRequest::isRanked() const
{
    return this->service && this->service->hasRankedRoutes;
}

Milliseconds ProxiedRequest::expectedWait(const RequestRank& current, TimePoint now) const
{
    const auto& queue = this->node.queues[this->requirements.service];
    return this->isRanked() ? expectedRankedWait(queue, this->node.rankDemands[this->requirements.service], current, now) : expectedQueueWait(queue, current, now);
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
    auto wait = this->expectedWait(currentRank, now);
    // Where requests of higher rank take all places as they come, even the first of the queue may wait in vain.
    bool isQueued = countAhead(queue, currentRank) > 0 || this->isRanked();
    bool isWaitTooLong = isQueued && wait != Milliseconds::max() && wait > allowance;
    if (isFirstAttempt && (isWaitTooLong || allowance <= Milliseconds(0))) {
        this->refuseRequest(503, "overloaded", this->loadRetryAfter(wait));
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
    this->requirements.triedEndpointIds.push_back(this->attempt.endpointId);
    if (result != AttemptResult::Answered) {
        this->node.log.write(LogLevel::Info, "attempt_failed", { { "request", this->callerRequest.id }, { "endpoint", this->attempt.endpointId }, { "result", toText(result) }, { "status", this->attempt.responseHead.status }, { "stream_fault", toText(this->eventStream.fault) }, { "after_ms", std::chrono::duration_cast<Milliseconds>(now - this->attempt.startedAt) } });
    }
    if (this->adoptSecondAttempt(result))
        return;
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
    auto headers = forwardableHeaders(this->attempt.responseHead.headers);
    if (this->hasResponseStarted) {
        this->exchange->finishResponse();
    } else if (this->route->kind == RequestKind::Stream && isSuccessForRequest(this->attempt.responseHead, this->attempt.endpointReply, this->callerRequest)) {
        this->exchange->startResponse(this->attempt.responseHead.status, headers, {}, nullptr);
        this->exchange->finishResponse();
    } else {
        this->timeToFirstByte = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->arrivedAt);
        this->exchange->sendResponse(this->attempt.responseHead.status, headers, this->attempt.body);
    }
    this->finishRequest("answered", this->attempt.responseHead.status, "");
}

void ProxiedRequest::sendFinalAnswer(FinalAnswer answer)
{
    // A status that promises that the request has not run isn't forwarded, because the request may have run.
    bool promisesNotRun = answer == FinalAnswer::Deliver && promisesNotExecuted(this->attempt.responseHead.status);
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
    if (this->route && this->isRanked() && this->isReturning())
        this->node.metrics.addToCounter("bilberry_returns_refused_total", { { "priority", std::to_string(this->rank.route) } });
    if (status == 503)
        noteRefusedDemand(this->node, this->demand, reason, Clock::now());
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
        this->attempt.channel->close();
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
    const auto& endpoint = this->node.clusterView.endpoints.rows[this->attempt.endpointRow];
    bool hasBegun = this->attempt.responseHead.status != 0;
    if (!hasBegun && BootClock::now() >= beginDeadline(this->node, endpoint, this->requirements)) {
        this->abandonAttempt(AttemptResult::Silent);
        return;
    }
    if (!this->mayRunAgain() || this->attempt.channel->endedWithConnection())
        return;
    this->hedgeIfLate(now);
    bool isFull = endpoint.record.isModelEngine && estimatedLoad(endpoint, now) >= endpoint.record.slots;
    if (now - this->attempt.lastReceivedAt >= silenceTimeout({ this->route->targetLatency, isFull, endpoint.lastHeardAt > this->attempt.lastReceivedAt }))
        this->abandonAttempt(AttemptResult::Silent);
}

void ProxiedRequest::finishRequest(const char* outcome, int status, const char* reason)
{
    if (this->isFinished)
        return;
    this->isFinished = true;
    this->cancelSecondAttempt();
    auto total = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->arrivedAt);
    this->node.log.write(LogLevel::Info, "request",
        { { "request", this->callerRequest.id }, { "route", this->route ? this->route->name : std::string() }, { "outcome", outcome }, { "status", status }, { "reason", reason },
            { "endpoint", this->attempt.endpointId }, { "runs", this->attemptTotals.runs }, { "refusals", this->attemptTotals.notRun }, { "budget_ms", this->callerRequest.timeBudget.value_or(Milliseconds(0)) }, { "fingerprint", this->fingerprint }, { "queued_ms", this->queueTime }, { "first_ms", this->timeToFirstByte }, { "total_ms", total },
            { "load_thought", this->endpointLoadEstimate }, { "load_stated", this->attempt.reportedLoad ? static_cast<int>(this->attempt.reportedLoad->running + this->attempt.reportedLoad->waiting) : -1 }, { "work_time_stated", this->attempt.reportedLoad ? this->attempt.reportedLoad->workTimePercent.value_or(0) : 0 }, { "belief_age_ms", ageOf(this->node.clusterView, BootClock::now()) },
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
