/// The part of an entry that concerns unrepeatable requests with a key: their owner, and the question for an outcome.

#include "Attempt.h"
#include "Configuration.h"
#include "Entry.h"
#include "EntryRequest.h"
#include "HttpClient.h"
#include "KeyOwner.h"
#include "Node.h"
#include "RequestPolicy.h"
#include "WireHeaders.h"

namespace bilberry {

// Longest time that a key query may take.
static constexpr Milliseconds keyQueryTimeout { 1000 };

QuarantineDecision Entry::checkQuarantine(const EntryRequest& request) const
{
    // Nothing was ever reported in most fleets; then no body is hashed.
    if (!request.http || this->quarantine.size() == 0)
        return QuarantineDecision::Run;
    return this->quarantine.decide(fingerprintOf(request.http->method, request.http->path, request.http->body), Clock::now());
}

RoutingChoice Entry::chooseVm(const EntryRequest& request, const RoutingTable& table, const std::vector<RowIndex>& tried)
{
    if (usesSimplePolicy() && request.key.empty()) {
        RowIndex next = chooseInTurn(table, { request.service, request.model }, tried, this->attemptCounter);
        if (next != noRow)
            this->router.acquire(table, next);
        return { next, false };
    }
    auto quarantined = request.key.empty() ? this->checkQuarantine(request) : QuarantineDecision::Run;
    if (quarantined == QuarantineDecision::Refuse)
        return {};
    if (quarantined == QuarantineDecision::RunAlone) {
        RowIndex vm = chooseForSuspect(table, request.service, request.model, fingerprintOf(request.http->method, request.http->path, request.http->body), tried);
        if (vm != noRow)
            this->router.acquire(table, vm);
        return { vm, false };
    }
    if (request.key.empty())
        return this->router.choose(table, { request.service, request.model, request.prefixHash }, tried, this->nextRandom());
    const Inventory& inventory = request.configuration->inventory;
    auto scopedKey = makeScopedKey(inventory.services[request.service].name, inventory.callers[request.caller].name, request.key);
    RowIndex owner = chooseKeyOwner(table, request.service, scopedKey, tried);
    if (owner != noRow)
        this->router.acquire(table, owner);
    return { owner, false };
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
        return { makeRefusal(RefusalReason::ReplyLost), {}, nullptr };
    AttemptOutcome outcome { readRefusal(reply.headers), {}, nullptr };
    outcome.response.status = reply.status;
    outcome.response.headers = withoutHopHeaders(reply.headers);
    outcome.response.body = reply.body;
    return outcome;
}

} // namespace bilberry
