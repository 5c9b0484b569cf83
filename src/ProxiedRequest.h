/// One request of a caller at an entry, from its arrival to its final answer.
#pragma once

#include "AttemptPolicy.h"
#include "EndpointChoice.h"
#include "EventStreamBuffer.h"
#include "HttpChannel.h"
#include "ProtocolAdapter.h"
#include "RouteTable.h"
#include "Types.h"

#include <memory>
#include <string>

namespace bilberry {

struct EntryNode;
class ServerExchange;

/// Whether the head is that of a success for this request, by its endpoint. Thread safe.
bool isVerifiedSuccess(const ResponseHead&, const EndpointReply&, const CallerRequest&);

/// Used by the loop's thread only. Held by the node's table of runs until it ends.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
public:
    /// Precondition: the node outlives the run.
    ProxiedRequest(EntryNode&, uint64_t number, std::shared_ptr<ServerExchange>);
    ~ProxiedRequest();
    ProxiedRequest(const ProxiedRequest&) = delete;
    ProxiedRequest& operator=(const ProxiedRequest&) = delete;

    /// Checks the request, then sends it to an endpoint, lets it wait, or refuses it.
    void startProcessing();
    /// Goes on with a request that waited for the first configuration.
    void admitAndDispatch(TimePoint now);
    /// Sends the request to an endpoint with a free place; false when there is none. Precondition: it waits.
    bool tryDispatch(TimePoint now);
    /// Its time in the queue is up.
    void handleQueueTimeout();
    /// Looks after time limits. To be called each tick.
    void checkTimeouts(TimePoint now);

private:
    bool admitRequest(TimePoint now);
    void dispatchOrEnqueue(TimePoint now);
    Milliseconds allowedQueueWait(TimePoint now) const;
    bool hasMissedTarget(TimePoint now) const;
    void startAttempt(uint32_t row, TimePoint now);
    HttpRequest makeEndpointRequest(const EndpointRow&, TimePoint now);
    HeadVerdict onResponseHead(const ResponseHead&);
    void onBodyChunk(const std::string& piece);
    void onStreamChunk(const std::string& piece);
    void forwardEvents(const std::string& events);
    void onAttemptEnd(ChannelEnd);
    AttemptResult attemptResult(ChannelEnd) const;
    AttemptResult resultOfWholeResponse() const;
    void releaseEndpoint(AttemptResult, TimePoint now);
    void abandonAttempt(AttemptResult);
    void handleAttemptResult(AttemptResult);
    void retryRequest(TimePoint now);
    void deliverResponse();
    void sendFinalAnswer(FinalAnswer);
    void refuseRequest(int status, const char* reason, Milliseconds retryAfter);
    void cancelRequest();
    void finishRequest(const char* outcome, int status, const char* reason);
    Milliseconds timeLeft(TimePoint now) const;
    bool hasActiveAttempt() const { return this->channel != nullptr; }

    EntryNode& node;
    uint64_t number;
    std::shared_ptr<ServerExchange> exchange;
    CallerRequest caller;
    RouteTablePointer routes; ///< The generation under which it was admitted.
    const RouteRule* route = nullptr;
    const ClientAccount* account = nullptr;
    const ServiceRule* service = nullptr;
    EndpointRequirements requirements;
    uint64_t fingerprint = 0;
    int priority = 0;
    TimePoint deadline {};
    TimePoint arrivedAt {};
    TimePoint firstArrivedAt {}; ///< Of the request that was refused before and has come back; else the same.

    // The attempt that runs.
    std::shared_ptr<HttpChannel> channel;
    uint32_t endpointRow = noEndpoint;
    std::string endpointId;
    TimePoint attemptStartedAt {};
    TimePoint lastReceivedAt {}; ///< When something was last received.
    ResponseHead responseHead;
    EndpointReply reply;
    std::string body;
    int skippedResponses = 0; ///< Answers to earlier requests on the connection.

    // Over all attempts.
    AttemptTotals attemptTotals;
    AttemptResult lastResult = AttemptResult::NotSent;
    EventStreamBuffer eventStream;
    bool hasResponseStarted = false; ///< Whether the caller has got a part of the answer.
    bool isWaiting = false;
    bool isFinished = false;
    Milliseconds queueTime { 0 }; ///< From arrival to the first attempt.
    Milliseconds timeToFirstByte { 0 }; ///< From arrival to the first part of the answer.
    double endpointLoadEstimate = 0; ///< Requests that the endpoint of the last attempt was thought to have.
    std::optional<LoadReport> reportedLoad; ///< What it said itself with its answer.
};

} // namespace bilberry
