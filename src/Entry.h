/// The entry process: takes callers' requests, chooses endpoints, forwards, retries and answers.
#pragma once

#include "CrashGuard.h"
#include "HttpMessage.h"
#include "Retry.h"
#include "Router.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace bilberry {

struct Node;
struct EntryRequest;
struct AttemptResponse;
struct RelayedStream;
class HttpExchange;

/// Thread safe.
class Entry {
public:
    /// Precondition: the node outlives the entry.
    explicit Entry(Node&);

    /// Refreshes the routing table and its metrics; called periodically. The argument is not used.
    void tick(TimePoint now);
    /// Handles a caller's request.
    HttpResponse handleRequest(const HttpRequest&);
    /// Handles the JSON-RPC method `crash`, which endpoints' processes call.
    std::string handleCrashMessage(const std::string& parameters) { return handleCrashReport(this->quarantine, this->node, parameters); }
    /// Number of requests whose answers are not complete yet.
    uint32_t inProgress() const { return this->requestsInProgress; }

private:
    HttpResponse serveRequest(const HttpRequest&);
    HttpResponse refuseRequest(const EntryRequest&, Refusal);
    QuarantineDecision checkQuarantine(const EntryRequest&) const;
    RoutingChoice selectEndpoint(const EntryRequest&, const RoutingTable&, const std::vector<RowIndex>& triedVms);
    AttemptResponse runAttempt(const EntryRequest&, const RoutingTable&, RoutingChoice, const std::string& lastEventId);
    bool waitForResponseData(const EntryRequest&, HttpExchange&, const RoutingTable&, RowIndex vm);
    void recordLoad(const RoutingTable&, RowIndex vm, const HttpHeaders&);
    void creditRetryBudget(const EntryRequest&);
    bool waitForAvailableEndpoint(const EntryRequest&, const RoutingTable*, const Refusal& lastRefusal, Duration& timeWaited);
    bool prepareRetry(const EntryRequest&, const Refusal&, AttemptCounts&);
    HttpResponse forwardResponse(const EntryRequest&, AttemptResponse, std::shared_ptr<const RoutingTable>, RowIndex vm);
    std::shared_ptr<HttpExchange> reopenStream(RelayedStream&, const std::string& lastId);
    void closeStream(RelayedStream&);
    bool spendRetryToken(const EntryRequest&, const Refusal&);
    uint64_t nextRandom();

    Node& node;
    Router router;
    Quarantine quarantine;
    std::atomic<uint32_t> requestsInProgress { 0 };
    std::atomic<uint64_t> attemptCounter { 0 };
    std::mutex mutex; ///< Guards the budgets and the random state.
    std::vector<RetryBudgets> retryBudgets; ///< The index is the row of the service.
    uint64_t randomState;
};

} // namespace bilberry
