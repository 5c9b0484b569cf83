/// Decides whether a request that waits unusually long for its answer is also sent to a second endpoint; the first answer wins. It is
/// designed for a calm service of which a few endpoints are slow: hedged requests cut the slowest answers at the cost of a little
/// extra work. Under overload they would feed it, so there are none. Pure functions without I/O.
#pragma once

#include "Types.h"

#include <array>
#include <cstdint>
#include <optional>

namespace bilberry {

/// Limits that operators set.
struct HedgeLimits {
    double share = 0; ///< Share of a service's requests that may be hedged; zero: none.
    uint32_t maxAtOnce = 0; ///< Largest number of hedged requests that one entry has in progress at a time.
};

/// The last delays until the answer to a request began, of the requests of one route. Used by one thread at a time.
struct AnswerDelays {
    static constexpr size_t capacity = 128;
    std::array<Milliseconds, capacity> delays {};
    size_t count = 0; ///< Number of delays that were recorded, also those that were overwritten.
};

/// Records the delay of one answer.
void recordAnswerDelay(AnswerDelays&, Milliseconds);
/// Returns the delay within which that share of the recent answers began, or nothing while too few are known. Precondition:
/// 0 <= share <= 1. Thread safe while the delays do not change.
std::optional<Milliseconds> delayOfShare(const AnswerDelays&, double share);

/// What is known of a request whose answer hasn't begun.
struct HedgeContext {
    bool isRepeatable = false; ///< Whether the request may run more than once.
    int runs = 0; ///< Attempts that may have run the request, the current one included.
    int maxRuns = 1; ///< Largest number of endpoints that may run the request.
    Milliseconds waited { 0 }; ///< Time since the current attempt was sent.
    Milliseconds timeLeft { 0 }; ///< Time until the request must be answered.
    bool isQueueEmpty = false; ///< Whether no request waits for an endpoint of the service.
    double loadShare = 1; ///< Estimated load of the service's usable endpoints as a share of what they can take.
};

/// Whether the request is to be sent to a second endpoint now, if the limits of number allow it: its answer is late compared with nearly all
/// recent answers of its route, a new attempt is expected to be answered sooner than the rest of this one, and the service has
/// room. Thread safe while the delays do not change.
bool shouldHedge(const HedgeContext&, const HedgeLimits&, const AnswerDelays&);

/// Returns the largest estimated load that a second endpoint may have, as a share of its limit, so that the extra request delays
/// no other there. Thread safe.
double maxLoadOfSecondEndpoint();

} // namespace bilberry
