/// The process in front: takes callers' requests, chooses endpoints, forwards, retries and answers.
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
struct AttemptOutcome;
struct OpenStream;
class HttpExchange;

/// Thread safe.
class Entry {
public:
    /// Precondition: the node outlives the entry.
    explicit Entry(Node&);

    /// Periodic work: the routing table.
    void tick(TimePoint now);
    /// Handles a caller's request.
    HttpResponse handle(const HttpRequest&);
    /// Answers the JSON-RPC method `crash` of endpoints' processes.
    std::string answerCrash(const std::string& parameters) { return answerCrashReport(this->quarantine, this->node, parameters); }
    /// Requests that are not answered to the end yet.
    uint32_t inProgress() const { return this->requestsInProgress; }

private:
    HttpResponse serve(const HttpRequest&);
    HttpResponse refuse(const EntryRequest&, Refusal);
    QuarantineDecision checkQuarantine(const EntryRequest&) const;
    RoutingChoice chooseVm(const EntryRequest&, const RoutingTable&, const std::vector<RowIndex>& tried);
    AttemptOutcome attempt(const EntryRequest&, const RoutingTable&, RoutingChoice, const std::string& lastEventId);
    bool waitForEndpoint(const EntryRequest&, HttpExchange&, const RoutingTable&, RowIndex vm);
    void noteLoad(const RoutingTable&, RowIndex vm, const HttpHeaders&);
    void fillBudget(const EntryRequest&);
    bool awaitEndpoint(const EntryRequest&, const RoutingTable*, const Refusal& last, Duration& waited);
    bool prepareRetry(const EntryRequest&, const Refusal&, AttemptCounts&);
    HttpResponse passOn(const EntryRequest&, AttemptOutcome, std::shared_ptr<const RoutingTable>, RowIndex vm);
    std::shared_ptr<HttpExchange> reopenStream(OpenStream&, const std::string& lastId);
    void closeStream(OpenStream&);
    bool spendRetry(const EntryRequest&, const Refusal&);
    uint64_t nextRandom();

    Node& node;
    Router router;
    Quarantine quarantine;
    std::atomic<uint32_t> requestsInProgress { 0 };
    std::atomic<uint64_t> attemptCounter { 0 };
    std::mutex mutex; ///< Guards the budgets and the random state.
    std::vector<RetryBudgets> budgets; ///< By service.
    uint64_t randomState;
};

} // namespace bilberry
