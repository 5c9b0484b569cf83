/// The part of an entry that counts the demand of client accounts at services whose requests have ranks, and tells which accounts
/// are beyond their fair shares (see DemandTable.h). Services whose routes all have the same priority aren't concerned.
///
/// The functions are to be called by the loop's thread only.
#pragma once

#include "DemandTable.h"
#include "EntryConfiguration.h"
#include "RequestRank.h"
#include "Types.h"

#include <cstdint>
#include <string_view>

namespace bilberry {

struct CallerRequest;
struct EntryNode;

/// A request that was admitted.
struct ArrivedRequest {
    const ServiceSettings* service = nullptr; ///< Null if the service isn't configured.
    const ClientAccount* account = nullptr; ///< Null for an anonymous request.
    const CallerRequest& callerRequest;
    RequestRank rank; ///< As by rankOf().
    bool wasRefusedBefore = false; ///< Whether it was counted when it first arrived.
};

/// What a request counts in its account's share of the service.
struct RequestDemand {
    bool isCounted = false;
    uint32_t account = 0; ///< accountHash() of the service and the account.
    CountedRequest request;
};

/// Returns the number of tokens to expect in the answer: the caller's estimate, or what is usual at the engine. Thread safe.
uint32_t expectedAnswerTokens(const CallerRequest&, const EnginePerformance&);
/// Counts the request as asked for by its account.
RequestDemand noteArrivedDemand(EntryNode&, const ArrivedRequest&, TimePoint now);
/// Counts the request as used by its account. Is to be called for each attempt.
void noteDispatchedDemand(EntryNode&, const RequestDemand&, TimePoint now);
/// Records that the request is refused with the promise that it has not run. Reasons that have nothing to do with the room at endpoints
/// don't count.
void noteRefusedDemand(EntryNode&, const RequestDemand&, std::string_view reason, TimePoint now);
/// Whether the request's account already has more than its share while there isn't room for all of the request's rank.
bool isAccountBeyondShare(const EntryNode&, const RequestDemand&);
/// Decides which accounts are beyond their shares, and logs changes. Is to be called on each tick.
void updateDemand(EntryNode&, TimePoint now);
/// Sets the gauges.
void updateDemandMetrics(EntryNode&);

} // namespace bilberry
