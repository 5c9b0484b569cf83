/// Handles one caller's request at an entry, from its arrival to its final response. It dispatches, queues or refuses the
/// request when endpoints are overloaded, and retries it at another endpoint when one fails.
#pragma once

#include "AttemptPolicy.h"
#include "ConnectionProbe.h"
#include "EndpointChoice.h"
#include "EntryConfiguration.h"
#include "EntryDemand.h"
#include "EventStreamBuffer.h"
#include "HedgePolicy.h"
#include "ProtocolAdapter.h"
#include "RequestAttempt.h"
#include "RequestRank.h"
#include "RetryWindow.h"
#include "Types.h"

#include <memory>
#include <string>

namespace bilberry {

struct EntryNode;
class ServerExchange;

/// Whether the response head reports a success, has the header that the endpoint itself sets (the response seal; only its
/// presence is checked), and has this request's ID. Thread safe.
bool isSuccessForRequest(const ResponseHead&, const EndpointReply&, const CallerRequest&);

/// Handles one request. It is used by the event loop's thread only, and the node's table of requests in progress holds it
/// until it finishes.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
public:
    /// Precondition: the node outlives the request.
    ProxiedRequest(EntryNode&, uint64_t number, std::shared_ptr<ServerExchange>);
    ~ProxiedRequest();
    ProxiedRequest(const ProxiedRequest&) = delete;
    ProxiedRequest& operator=(const ProxiedRequest&) = delete;

    /// Checks the request, then dispatches it to an endpoint, queues it or refuses it. An entry that has no configuration yet
    /// defers it for a short time.
    void startProcessing();
    /// Admits the request and dispatches it, also after it was deferred until the first configuration. Does nothing once the
    /// request has finished.
    void admitAndDispatch(TimePoint now);
    /// Dispatches the request to an endpoint with free capacity. Returns false when there is none. Precondition: the request
    /// waits for an endpoint.
    bool tryDispatch(TimePoint now);
    /// Refuses the request, or answers with its last failure, when its time in the queue is over. Precondition: the request
    /// has been removed from its queue.
    void handleQueueTimeout();
    /// Whether all endpoints that could run the request are set aside by their own statement, until `time` at least. It is then to
    /// be ended as by handleQueueTimeout().
    bool areAllSetAsideUntil(TimePoint time, TimePoint now) const;
    /// Enforces the time limits. The node calls it each tick.
    void checkTimeouts(TimePoint now);

private:
    bool admitRequest(TimePoint now);
    bool canAnswerBeforeExit(TimePoint now) const;
    void endForStop(TimePoint now);
    void dispatchOrEnqueue(TimePoint now);
    bool isRefusedForCrashes() const;
    void refuseForCrashes(TimePoint now);
    Milliseconds allowedQueueWait(TimePoint now) const;
    Milliseconds refusalDelay(TimePoint now) const;
    Milliseconds loadRetryAfter(Milliseconds wait) const;
    Milliseconds expectedWait(const RequestRank&, TimePoint now) const;
    bool isRanked() const;
    bool isReturning() const { return this->firstArrivedAt < this->arrivedAt; }
    bool hasMissedTarget(TimePoint now) const;
    RequestRank currentRank(TimePoint now) const;
    void noteFirstDispatch(TimePoint now);
    void startAttempt(uint32_t row, TimePoint now);
    ResponseHandlers makeHandlers();
    HttpRequest makeEndpointRequest(const EndpointRow&, TimePoint now);
    ResponseDisposition onResponseHead(const ResponseHead&);
    void noteStatedLoad(EndpointRow&, const LoadReport&, TimePoint now);
    void onBodyChunk(const std::string& chunk);
    void onStreamChunk(const std::string& chunk);
    void noteProgress();
    void noteExchangeTimes(const EndpointRow&, TimePoint now);
    void noteEvents();
    void notePartsOfEndedAttempt(AttemptResult, TimePoint now);
    void discardBody();
    void forwardEvents(const std::string& events);
    void onAttemptEnd(ChannelEnd);
    void verifyEnd();
    void onEndProbed(ProbeResult);
    void endAttempt(AttemptResult);
    AttemptResult attemptResult(ChannelEnd) const;
    bool mayHaveLostAllEvents() const;
    AttemptResult resultOfWholeResponse() const;
    bool mayJoinStartedResponse() const;
    void releaseEndpoint(AttemptResult, TimePoint now);
    void noteLoss(EndpointRow&, AttemptResult, TimePoint now);
    void abandonAttempt(AttemptResult);
    void handleAttemptResult(AttemptResult);
    void retryRequest(TimePoint now);
    void deliverResponse();
    void sendFinalAnswer(FinalAnswer);
    void refuseRequest(int status, const char* reason, Milliseconds retryAfter);
    void cancelRequest();
    void finishRequest(const char* outcome, int status, const char* reason);
    TimePoint answerDueAt() const;
    Milliseconds timeLeft(TimePoint now) const;
    bool mayRunAgain() const;
    RetryContext retryContext(TimePoint now) const;
    bool isSecondAttempt(const std::weak_ptr<HttpChannel>&) const;
    RetryWindowLimits hedgeWindowLimits() const;
    void countForHedges(TimePoint now);
    void noteAnswerDelay(TimePoint now);
    void hedgeIfLate(TimePoint now);
    HedgeContext hedgeContext(TimePoint now) const;
    uint32_t chooseSecondEndpoint(TimePoint now);
    bool takeHedge(TimePoint now);
    void startSecondAttempt(uint32_t row, TimePoint now);
    ResponseDisposition onFirstHead(const ResponseHead&);
    ResponseDisposition onSecondHead(const ResponseHead&);
    void onSecondEnd(ChannelEnd);
    void endSecondAttempt(AttemptResult);
    void cancelSecondAttempt();
    bool adoptSecondAttempt(AttemptResult resultOfFirst);
    bool hasActiveAttempt() const { return this->attempt.channel != nullptr; }

    EntryNode& node;
    uint64_t number;
    std::shared_ptr<ServerExchange> exchange;
    CallerRequest callerRequest;
    EntryConfigurationPointer routes; ///< The configuration under which the request was admitted.
    const RouteRule* route = nullptr;
    const ClientAccount* account = nullptr;
    const ServiceSettings* service = nullptr;
    EndpointRequirements requirements;
    uint64_t fingerprint = 0;
    bool isPartTrial = false; ///< Whether the request is sent to find out whether a part of its prompt still crashes endpoints.
    RequestRank rank; ///< Rank of the request as long as it is on time.
    RequestDemand demand; ///< What the request counts in its account's share of the service.
    TimePoint deadline {};
    TimePoint arrivedAt {};
    TimePoint firstArrivedAt {}; ///< Arrival of the first try if the request was refused before; otherwise arrivedAt.

    RequestAttempt attempt; ///< The current attempt, or the last one.
    std::optional<RequestAttempt> secondAttempt; ///< A hedged request's other attempt, until one of the two is answered or ends.

    // These members are kept across attempts.
    AttemptTotals attemptTotals;
    AttemptResult lastResult = AttemptResult::NotSent;
    EventStreamBuffer eventStream;
    bool hasResponseStarted = false; ///< Whether a part of the response has been sent to the caller.
    int startedStatus = 0; ///< Status of that response.
    std::string startedContentType; ///< Its Content-Type header.
    bool isWaiting = false;
    bool isFinished = false;
    Milliseconds queueTime { 0 }; ///< Time from the arrival to the first attempt.
    Milliseconds timeToFirstByte { 0 }; ///< Time from the arrival to the first part of the response; zero until then.
    double endpointLoadEstimate = 0; ///< Estimated number of requests at the endpoint when the last attempt was sent to it.
};

} // namespace bilberry
