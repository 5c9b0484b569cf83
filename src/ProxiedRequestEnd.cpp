/// The part of ProxiedRequest that handles the end of an attempt at an endpoint: it finds the result, also whether a response that
/// ends with its connection is whole, and records what the attempt reveals about the endpoint.

#include "EntryCrashes.h"
#include "EntryNode.h"
#include "EntryStatements.h"
#include "ProxiedRequest.h"

#include <algorithm>
#include <utility>

namespace bilberry {

// Status of an endpoint that doesn't run requests that are meant for it, because of its identity or its weights.
static constexpr int httpStatusMisdirected = 421;
// Time for which an endpoint gets no new request after it refused one because of its load or state.
static constexpr Milliseconds refusalBackoff { 60 };
// Time within which an endpoint crashes after it has begun to answer a request that crashes it.
static constexpr Milliseconds maxCrashDelay { 300 };
// Time for which an endpoint gets no new request after a connection to it failed.
static constexpr Milliseconds connectFailureBackoff { 300 };

// An end of the connection before the first event may be a loss. A stream that is resumed may have no event left, and an answer that
// states where it ends may have none at all.
bool ProxiedRequest::mayHaveLostAllEvents() const
{
    bool hasEvents = this->eventStream.hasEvents || this->callerRequest.lastEventId;
    return this->route->kind == RequestKind::Stream && !hasEvents && this->attempt.channel->endedWithConnection();
}

AttemptResult ProxiedRequest::resultOfWholeResponse() const
{
    // An answer to another request says nothing about this one, not even that it hasn't run.
    bool isForOtherRequest = !this->attempt.endpointReply.requestId.empty() && this->attempt.endpointReply.requestId != this->callerRequest.id;
    if (isForOtherRequest)
        return AttemptResult::Malformed;
    // One without an ID may be an earlier answer that was written again.
    if (this->attempt.endpointReply.isNotExecuted)
        return this->attempt.endpointReply.requestId.empty() ? AttemptResult::Malformed : AttemptResult::NotExecuted;
    if (!this->mayJoinStartedResponse())
        return AttemptResult::Malformed;
    if (this->attempt.responseHead.status < 300) {
        bool isSuccess = isSuccessForRequest(this->attempt.responseHead, this->attempt.endpointReply, this->callerRequest) && !this->mayHaveLostAllEvents();
        return isSuccess ? AttemptResult::Answered : AttemptResult::Malformed;
    }
    bool hasFailed = this->attempt.responseHead.status >= 500 || promisesNotExecuted(this->attempt.responseHead.status);
    return hasFailed ? AttemptResult::ServerError : AttemptResult::Answered;
}

AttemptResult ProxiedRequest::attemptResult(ChannelEnd end) const
{
    switch (end) {
    case ChannelEnd::NotSent:
        return AttemptResult::NotSent;
    case ChannelEnd::Malformed:
        return AttemptResult::Malformed;
    case ChannelEnd::Lost:
        return AttemptResult::Lost;
    case ChannelEnd::Complete:
        break;
    }
    bool hasPartialEvent = !this->eventStream.partialEvent.empty();
    return hasPartialEvent ? AttemptResult::Lost : this->resultOfWholeResponse();
}

void ProxiedRequest::onAttemptEnd(ChannelEnd end)
{
    auto result = this->attemptResult(end);
    bool dependsOnEnd = result != AttemptResult::Lost && result != AttemptResult::NotExecuted;
    if (!dependsOnEnd || !this->attempt.channel->endedWithConnection()) {
        this->endAttempt(result);
        return;
    }
    this->attempt.answerEnd = AnswerEnd { result, Clock::now() };
    this->verifyEnd();
}

void ProxiedRequest::verifyEnd()
{
    const auto& endpoint = this->node.clusterView.endpoints.rows[this->attempt.endpointRow];
    this->node.livenessChecks.check(this->attempt.endpointId, endpoint.record.address, [weak = this->weak_from_this(), ended = std::weak_ptr<HttpChannel>(this->attempt.channel)](ProbeResult probe) {
        auto self = weak.lock();
        auto endedChannel = ended.lock();
        if (self && endedChannel && self->attempt.channel == endedChannel)
            self->onEndProbed(probe);
    });
}

static AttemptResult resultOfEndedAnswer(EndVerdict verdict, AttemptResult resultOfWhole)
{
    if (verdict == EndVerdict::LivesOn)
        return resultOfWhole;
    return verdict == EndVerdict::Ended ? AttemptResult::Lost : AttemptResult::EndUnverified;
}

void ProxiedRequest::onEndProbed(ProbeResult probe)
{
    ++this->attempt.answerEnd.probes;
    const auto& endpoint = this->node.clusterView.endpoints.rows[this->attempt.endpointRow];
    bool isRunKnown = this->attempt.endpointStartedAt != WallTime();
    bool hasRestarted = isRunKnown && endpoint.statement.startedAt > this->attempt.endpointStartedAt;
    auto verdict = judgeAnswerEnd(this->attempt.answerEnd, { probe, hasRestarted, endpoint.lastHeardAt, this->mayRunAgain() });
    if (verdict != EndVerdict::LivesOn)
        this->node.log.write(LogLevel::Info, "answer_end_uncertain", { { "request", this->callerRequest.id }, { "endpoint", this->attempt.endpointId }, { "probe", toText(probe) }, { "restarted", hasRestarted }, { "probes", this->attempt.answerEnd.probes } });
    if (verdict == EndVerdict::ProbeAgain)
        this->verifyEnd();
    else
        this->endAttempt(resultOfEndedAnswer(verdict, this->attempt.answerEnd.result));
}

void ProxiedRequest::endAttempt(AttemptResult result)
{
    this->releaseEndpoint(result, Clock::now());
    this->handleAttemptResult(result);
}

// Records what the end of the attempt shows of the parts of the prompt: a part that crashes endpoints does so when the answer
// begins, and no answer to it is complete.
void ProxiedRequest::notePartsOfEndedAttempt(AttemptResult result, TimePoint now)
{
    const auto& parts = this->callerRequest.sharedPromptParts;
    noteReleasedParts(this->node.promptSuspects, parts);
    if (parts.empty())
        return;
    bool hasEvents = this->attempt.firstEventAt != TimePoint();
    // The loss itself may be seen late, so that only events count.
    bool hasRunOn = hasEvents && this->attempt.lastReceivedAt - this->attempt.firstEventAt >= maxCrashDelay;
    bool isStream = this->route->kind == RequestKind::Stream;
    bool hasBegun = hasEvents || !isStream;
    if (result == AttemptResult::Lost && !hasRunOn)
        reportSuspectParts(this->node, parts, runHash(this->attempt.endpointId, this->attempt.endpointStartedAt), now);
    else if (result == AttemptResult::Answered && hasBegun && isSuccessForRequest(this->attempt.responseHead, this->attempt.endpointReply, this->callerRequest))
        reportAnsweredParts(this->node, parts, now);
}

// Records that the attempt was lost or that the endpoint accepted no connection, either of which may show that it crashed.
void ProxiedRequest::noteLoss(EndpointRow& endpoint, AttemptResult result, TimePoint now)
{
    if (result == AttemptResult::NotSent) {
        reportCrash(this->node, endpoint, takeLossesAfterRefusal(endpoint.losses, now), now);
        return;
    }
    recordLostParts(endpoint.losses, this->callerRequest.sharedPromptParts, now);
    recordLoss(endpoint.losses, this->fingerprint, now);
    endpoint.losses.runStartedAt = this->attempt.endpointStartedAt;
}

// Releases the endpoint's capacity and the connection, and records what the attempt revealed about the endpoint.
void ProxiedRequest::releaseEndpoint(AttemptResult result, TimePoint now)
{
    auto& endpoint = this->node.clusterView.endpoints.rows[this->attempt.endpointRow];
    --endpoint.inFlight;
    bool hasBegun = this->attempt.responseHead.status != 0;
    if (!hasBegun)
        recordResponseBegin(endpoint.responseDelay, this->attempt.startedAt, now);
    this->node.hasChangesForPeers = true;
    this->notePartsOfEndedAttempt(result, now);
    if (result == AttemptResult::Answered)
        this->node.crashes.removeRequest(this->fingerprint);
    if (result == AttemptResult::Lost || result == AttemptResult::NotSent)
        this->noteLoss(endpoint, result, now);
    if (needsProbe(endpoint.losses, endpoint.inFlight, endpoint.lastHeardAt))
        verifyLosses(this->node, endpoint);
    bool isAddressReused = result == AttemptResult::NotExecuted && !this->attempt.endpointReply.endpointId.empty() && this->attempt.endpointReply.endpointId != this->attempt.endpointId;
    if (isAddressReused) {
        // Another endpoint now has this address, so the endpoint list is out of date.
        endpoint.listedUntil = now;
        this->node.channels.closeIdleChannels(this->attempt.endpointId);
    }
    // An engine that names itself and yet doesn't take a request that is meant for it holds no weights to run it with.
    bool isSwitching = result == AttemptResult::NotExecuted && !isAddressReused && this->attempt.responseHead.status == httpStatusMisdirected && endpoint.record.isModelEngine;
    if (isSwitching)
        reportSwitchingEngine(this->node, endpoint, now);
    if (result == AttemptResult::NotSent)
        endpoint.avoidUntil = std::max(endpoint.avoidUntil, now + connectFailureBackoff);
    // An endpoint that answers other requests has queued a silent one, or has lost its answer.
    bool isAliveAndSilent = result == AttemptResult::Silent && endpoint.lastHeardAt > this->attempt.lastReceivedAt;
    if (result == AttemptResult::Answered)
        noteOutcome(endpoint, true, now);
    else if (result == AttemptResult::NotExecuted)
        endpoint.avoidUntil = std::max(endpoint.avoidUntil, now + refusalBackoff);
    else if (result != AttemptResult::TimedOut && !isAliveAndSilent)
        noteOutcome(endpoint, false, now);
    this->node.channels.releaseChannel(this->attempt.endpointId, std::move(this->attempt.channel));
    this->attempt.channel = nullptr;
    this->attempt.endpointRow = noEndpoint;
}

void ProxiedRequest::abandonAttempt(AttemptResult result)
{
    this->attempt.channel->close();
    this->endAttempt(result);
}

} // namespace bilberry
