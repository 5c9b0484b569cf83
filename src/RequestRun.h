/// One request of a caller at an entry, from its arrival to its final answer.
#pragma once

#include "AttemptPolicy.h"
#include "Dialect.h"
#include "EndpointChoice.h"
#include "HttpChannel.h"
#include "RouteTable.h"
#include "StreamEvents.h"
#include "Types.h"

#include <memory>
#include <string>

namespace bilberry {

struct EntryNode;
class ServerExchange;

/// Whether the head is that of a success for this request, by its endpoint. Thread safe.
bool isOwnSuccess(const ResponseHead&, const EndpointReply&, const CallerRequest&);

/// Used by the loop's thread only. Held by the node's table of runs until it ends.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
public:
    /// Precondition: the node outlives the run.
    RequestRun(EntryNode&, uint64_t number, std::shared_ptr<ServerExchange>);
    ~RequestRun();
    RequestRun(const RequestRun&) = delete;
    RequestRun& operator=(const RequestRun&) = delete;

    /// Checks the request, then sends it to an endpoint, lets it wait, or refuses it.
    void begin();
    /// Goes on with a request that waited for the first configuration.
    void proceed(TimePoint now);
    /// Sends the request to an endpoint with a free place; false when there is none. Precondition: it waits.
    bool tryStart(TimePoint now);
    /// Its time in the queue is up.
    void endWait();
    /// Looks after time limits. To be called each tick.
    void tick(TimePoint now);

private:
    bool admit(TimePoint now);
    void place(TimePoint now);
    Milliseconds allowedWait(TimePoint now) const;
    bool isLate(TimePoint now) const;
    void startAttempt(uint32_t row, TimePoint now);
    HttpRequest endpointRequest(const EndpointRow&, TimePoint now);
    HeadVerdict onHead(const ResponseHead&);
    void onPiece(const std::string& piece);
    void onStreamPiece(const std::string& piece);
    void passOn(const std::string& events);
    void onEnd(ChannelEnd);
    AttemptResult resultOf(ChannelEnd) const;
    AttemptResult resultOfAnswer() const;
    void releaseEndpoint(AttemptResult, TimePoint now);
    void abandonAttempt(AttemptResult);
    void afterAttempt(AttemptResult);
    void retry(TimePoint now);
    void deliver();
    void conclude(FinalAnswer);
    void refuse(int status, const char* reason, Milliseconds retryAfter);
    void cancel();
    void finish(const char* outcome, int status, const char* reason);
    Milliseconds timeLeft(TimePoint now) const;
    bool isInAttempt() const { return this->channel != nullptr; }

    EntryNode& node;
    uint64_t number;
    std::shared_ptr<ServerExchange> exchange;
    CallerRequest caller;
    RouteTablePointer routes; ///< The generation under which it was admitted.
    const RouteRule* route = nullptr;
    const ClientAccount* account = nullptr;
    const ServiceRule* service = nullptr;
    EndpointNeed need;
    uint64_t fingerprint = 0;
    int priority = 0;
    TimePoint deadline {};
    TimePoint arrivedAt {};
    TimePoint firstArrivedAt {}; ///< Of the request that was refused before and has come back; else the same.

    // The attempt that runs.
    std::shared_ptr<HttpChannel> channel;
    uint32_t row = noEndpoint;
    std::string endpointId;
    TimePoint attemptAt {};
    TimePoint progressAt {}; ///< When something was last received.
    ResponseHead head;
    EndpointReply reply;
    std::string body;
    int skipped = 0; ///< Answers to earlier requests on the connection.

    // Over all attempts.
    AttemptTally tally;
    AttemptResult lastResult = AttemptResult::NotSent;
    StreamEvents stream;
    bool hasStarted = false; ///< Whether the caller has got a part of the answer.
    bool isWaiting = false;
    bool isEnded = false;
    Milliseconds queuedFor { 0 }; ///< From arrival to the first attempt.
    Milliseconds firstPartAfter { 0 }; ///< From arrival to the first part of the answer.
    double loadThought = 0; ///< Requests that the endpoint of the last attempt was thought to have.
    std::optional<LoadStatement> loadStated; ///< What it said itself with its answer.
};

} // namespace bilberry
