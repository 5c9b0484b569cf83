/// The part of ProxiedRequest that sends a request whose answer is late to a second endpoint as well, within the operators' limits.
/// The attempt that is answered first goes on, and the other one is taken back at once. While the functions below handle the second
/// attempt, it takes the place of the current one.

#include "EntryNode.h"
#include "EntryRequirements.h"
#include "ProxiedRequest.h"
#include "ServerExchange.h"

#include <utility>

namespace bilberry {

// Largest number of routes whose delays are remembered; all are forgotten when there are more.
static constexpr size_t maxRoutesWithDelays = 512;

bool ProxiedRequest::isSecondAttempt(const std::weak_ptr<HttpChannel>& channel) const
{
    return this->secondAttempt && this->secondAttempt->channel == channel.lock();
}

// The operators' share of hedged requests as the limits of a window in which they are counted like retries.
RetryWindowLimits ProxiedRequest::hedgeWindowLimits() const
{
    const auto& bounds = this->node.settings.reloadable;
    return { bounds.hedgeLimits.share, 0, bounds.retryLimits.window };
}

void ProxiedRequest::countForHedges(TimePoint now)
{
    if (this->node.settings.reloadable.hedgeLimits.share > 0)
        countRequest(this->node.hedgeWindows[this->requirements.service], this->hedgeWindowLimits(), now);
}

void ProxiedRequest::noteAnswerDelay(TimePoint now)
{
    bool isUsed = this->node.settings.reloadable.hedgeLimits.share > 0 && mayRepeat(*this->route);
    if (!isUsed || !isSuccessForRequest(this->attempt.responseHead, this->attempt.endpointReply, this->callerRequest))
        return;
    auto& delays = this->node.answerDelays;
    if (delays.size() >= maxRoutesWithDelays && delays.count(this->route->name) == 0)
        delays.clear();
    recordAnswerDelay(delays[this->route->name], std::chrono::duration_cast<Milliseconds>(now - this->attempt.startedAt));
}

// Estimated load of the endpoints that could run the request, as a share of what they can take.
static double loadShareOf(const EntryNode& node, const EndpointRequirements& requirements, TimePoint now)
{
    double load = 0;
    double limit = 0;
    for (const auto& row : node.clusterView.endpoints.rows) {
        if (!isEligible(row, requirements, node.settings.location, node.clusterView.evacuatedDataCentres, now))
            continue;
        load += estimatedLoad(row, now);
        limit += concurrencyLimit(row.record);
    }
    return limit > 0 ? load / limit : 1;
}

HedgeContext ProxiedRequest::hedgeContext(TimePoint now) const
{
    HedgeContext context;
    bool hasBegun = this->attempt.responseHead.status != 0 || this->hasResponseStarted || this->eventStream.hasEvents;
    context.isRepeatable = this->mayRunAgain() && !hasBegun && !this->isPartTrial;
    context.runs = this->attemptTotals.runs + 1;
    context.maxRuns = this->route->maxRuns;
    context.waited = std::chrono::duration_cast<Milliseconds>(now - this->attempt.startedAt);
    context.timeLeft = this->timeLeft(now);
    auto queue = this->node.queues.find(this->requirements.service);
    context.isQueueEmpty = queue == this->node.queues.end() || queue->second.waiting.empty();
    context.loadShare = 0;
    return context;
}

// Returns the row of an endpoint that has room for a second attempt; noEndpoint if there is none.
uint32_t ProxiedRequest::chooseSecondEndpoint(TimePoint now)
{
    updateRequirements(this->node, this->requirements);
    auto second = this->requirements;
    second.triedEndpointIds.push_back(this->attempt.endpointId);
    const auto& view = this->node.clusterView;
    auto choice = chooseEndpoint(view.endpoints, second, this->node.settings.location, view.evacuatedDataCentres, this->node.random(), now);
    if (choice.row == noEndpoint)
        return noEndpoint;
    const auto& row = view.endpoints.rows[choice.row];
    bool hasRoom = estimatedLoad(row, now) + 1 <= maxLoadOfSecondEndpoint() * concurrencyLimit(row.record);
    return hasRoom && now >= row.coldUntil ? choice.row : noEndpoint;
}

// Takes one hedged request from the operators' share, and one retry from the fleet's budget. Returns false when either is used up.
bool ProxiedRequest::takeHedge(TimePoint now)
{
    const auto& bounds = this->node.settings.reloadable;
    const auto& service = this->requirements.service;
    bool isWithinLimits = this->node.hedgesInProgress < bounds.hedgeLimits.maxAtOnce && tryTakeRetry(this->node.hedgeWindows[service], this->hedgeWindowLimits(), 1, now)
        && tryTakeRetry(this->node.retryWindows[service], bounds.retryLimits, entryCount(this->node), now);
    this->node.metrics.addToCounter("bilberry_hedges_total", { { "result", isWithinLimits ? "sent" : "over_limit" } });
    return isWithinLimits;
}

void ProxiedRequest::hedgeIfLate(TimePoint now)
{
    const auto& limits = this->node.settings.reloadable.hedgeLimits;
    if (limits.share <= 0)
        return;
    if (this->secondAttempt) {
        const auto& endpoint = this->node.clusterView.endpoints.rows[this->secondAttempt->endpointRow];
        if (BootClock::now() >= beginDeadline(this->node, endpoint, this->requirements))
            this->cancelSecondAttempt();
        return;
    }
    auto delays = this->node.answerDelays.find(this->route->name);
    auto context = this->hedgeContext(now);
    // The load is only added up for a request that is late.
    if (delays == this->node.answerDelays.end() || !shouldHedge(context, limits, delays->second))
        return;
    updateRequirements(this->node, this->requirements);
    context.loadShare = loadShareOf(this->node, this->requirements, now);
    if (!shouldHedge(context, limits, delays->second) || this->isRefusedForCrashes() || mustWaitForSuspects(this->node.promptSuspects, this->callerRequest.sharedPromptParts))
        return;
    auto row = this->chooseSecondEndpoint(now);
    if (row != noEndpoint && this->takeHedge(now))
        this->startSecondAttempt(row, now);
}

void ProxiedRequest::startSecondAttempt(uint32_t row, TimePoint now)
{
    auto waited = std::chrono::duration_cast<Milliseconds>(now - this->attempt.startedAt);
    this->node.log.write(LogLevel::Info, "request_hedged", { { "request", this->callerRequest.id }, { "first", this->attempt.endpointId }, { "second", this->node.clusterView.endpoints.rows[row].record.id }, { "after_ms", waited } });
    ++this->node.hedgesInProgress;
    this->secondAttempt.emplace();
    std::swap(this->attempt, *this->secondAttempt);
    this->startAttempt(row, now);
    std::swap(this->attempt, *this->secondAttempt);
}

ResponseDisposition ProxiedRequest::onFirstHead(const ResponseHead& received)
{
    auto disposition = this->onResponseHead(received);
    bool isAnswered = disposition == ResponseDisposition::Accept && isSuccessForRequest(this->attempt.responseHead, this->attempt.endpointReply, this->callerRequest);
    if (isAnswered)
        this->cancelSecondAttempt();
    return disposition;
}

ResponseDisposition ProxiedRequest::onSecondHead(const ResponseHead& received)
{
    std::swap(this->attempt, *this->secondAttempt);
    auto disposition = this->onResponseHead(received);
    bool isAnswered = disposition == ResponseDisposition::Accept && isSuccessForRequest(this->attempt.responseHead, this->attempt.endpointReply, this->callerRequest);
    if (!isAnswered) {
        std::swap(this->attempt, *this->secondAttempt);
        return disposition;
    }
    this->node.metrics.addToCounter("bilberry_hedges_total", { { "result", "answered_first" } });
    this->cancelSecondAttempt();
    return disposition;
}

void ProxiedRequest::onSecondEnd(ChannelEnd end)
{
    std::swap(this->attempt, *this->secondAttempt);
    auto result = this->attemptResult(end);
    std::swap(this->attempt, *this->secondAttempt);
    this->endSecondAttempt(result);
}

// Releases the second attempt's endpoint, and records that the request was sent to it.
void ProxiedRequest::endSecondAttempt(AttemptResult result)
{
    std::swap(this->attempt, *this->secondAttempt);
    this->releaseEndpoint(result, Clock::now());
    std::swap(this->attempt, *this->secondAttempt);
    countAttempt(this->attemptTotals, result);
    this->requirements.triedEndpointIds.push_back(this->secondAttempt->endpointId);
    this->secondAttempt.reset();
    --this->node.hedgesInProgress;
}

// Takes the second attempt back, if there is one. Closing its connection at once keeps the endpoint from working on.
void ProxiedRequest::cancelSecondAttempt()
{
    if (!this->secondAttempt)
        return;
    this->secondAttempt->channel->close();
    this->endSecondAttempt(AttemptResult::TimedOut);
}

// Goes on with the second attempt after the first one has failed. Returns false if there is none, or no time for it.
bool ProxiedRequest::adoptSecondAttempt(AttemptResult resultOfFirst)
{
    if (!this->secondAttempt)
        return false;
    if (resultOfFirst == AttemptResult::Answered || resultOfFirst == AttemptResult::TimedOut) {
        this->cancelSecondAttempt();
        return false;
    }
    this->attempt = std::move(*this->secondAttempt);
    this->secondAttempt.reset();
    --this->node.hedgesInProgress;
    return true;
}

} // namespace bilberry
