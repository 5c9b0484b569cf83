/// The part of an entry that chooses an endpoint for a request, and isolates requests that are suspected to crash back ends.

#include "Configuration.h"
#include "Entry.h"
#include "EntryRequest.h"
#include "SimpleRequestPolicy.h"

namespace bilberry {

QuarantineDecision Entry::checkQuarantine(const EntryRequest& request) const
{
    // Most fleets never have a crash report; without one, the body need not be hashed.
    if (!request.httpRequest || this->quarantine.size() == 0)
        return QuarantineDecision::Run;
    return this->quarantine.checkFingerprint(computeRequestFingerprint(request.httpRequest->method, request.httpRequest->path, request.httpRequest->body), Clock::now());
}

RoutingChoice Entry::selectEndpoint(const EntryRequest& request, const RoutingTable& table, const std::vector<RowIndex>& triedVms)
{
    if (usesSimplePolicy()) {
        RowIndex next = chooseRoundRobin(table, { request.service, request.model }, triedVms, this->attemptCounter);
        if (next != noRow)
            this->router.beginRequest(table, next);
        return { next, false };
    }
    auto decision = this->checkQuarantine(request);
    if (decision == QuarantineDecision::Refuse)
        return {};
    if (decision == QuarantineDecision::RunAsOnlySuspect) {
        RowIndex vm = chooseEndpointForSuspect(table, request.service, request.model, computeRequestFingerprint(request.httpRequest->method, request.httpRequest->path, request.httpRequest->body), triedVms);
        if (vm != noRow)
            this->router.beginRequest(table, vm);
        return { vm, false };
    }
    return this->router.selectEndpoint(table, { request.service, request.model, request.prefixHash }, triedVms, this->nextRandom());
}

} // namespace bilberry
