/// The part of an entry that chooses an endpoint for a request, with care for requests that are suspected to crash endpoints.

#include "Configuration.h"
#include "Entry.h"
#include "EntryRequest.h"
#include "RequestPolicy.h"

namespace bilberry {

QuarantineDecision Entry::checkQuarantine(const EntryRequest& request) const
{
    // Nothing was ever reported in most fleets; then no body is hashed.
    if (!request.http || this->quarantine.size() == 0)
        return QuarantineDecision::Run;
    return this->quarantine.checkFingerprint(computeRequestFingerprint(request.http->method, request.http->path, request.http->body), Clock::now());
}

RoutingChoice Entry::selectEndpoint(const EntryRequest& request, const RoutingTable& table, const std::vector<RowIndex>& tried)
{
    if (usesSimplePolicy()) {
        RowIndex next = chooseRoundRobin(table, { request.service, request.model }, tried, this->attemptCounter);
        if (next != noRow)
            this->router.beginRequest(table, next);
        return { next, false };
    }
    auto quarantined = this->checkQuarantine(request);
    if (quarantined == QuarantineDecision::Refuse)
        return {};
    if (quarantined == QuarantineDecision::RunAlone) {
        RowIndex vm = chooseEndpointForSuspect(table, request.service, request.model, computeRequestFingerprint(request.http->method, request.http->path, request.http->body), tried);
        if (vm != noRow)
            this->router.beginRequest(table, vm);
        return { vm, false };
    }
    return this->router.selectEndpoint(table, { request.service, request.model, request.prefixHash }, tried, this->nextRandom());
}

} // namespace bilberry
