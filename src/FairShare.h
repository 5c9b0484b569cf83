/// Divides the capacity of a service among client accounts. It answers a load at which a few large accounts ask for more than there
/// is room for, so that in order of arrival the small ones would be refused as often as the large ones that cause it. Pure
/// functions.
#pragma once

#include "EntryConfiguration.h"

#include <cstdint>
#include <vector>

namespace bilberry {

/// What an account asks for and gets, in engine milliseconds per second.
struct AccountDemand {
    double weight = 1; ///< Size of the account's share relative to the others'; positive.
    double asked = 0; ///< Of all its requests, dispatched or not.
    double used = 0; ///< Of its dispatched requests.
};

/// Returns the time for which a request occupies an engine alone: the time to read its prompt, and its part of the steps that write
/// its answer while all slots are in use. Tokens that aren't stated, which are zero, are taken as the usual ones. A request of a
/// plain service, whose engine timing is null, counts 100 ms. Thread safe.
FractionalMilliseconds expectedEngineTime(const EnginePerformance*, uint32_t promptTokens, uint32_t answerTokens);

/// Divides the capacity that the accounts use together among them: those that ask for less than an even share get what they ask
/// for, and the others get equal parts of the rest by weight (max-min fairness). But each account is served at least a third as
/// often as all are. Returns a share for each account, which is at most its demand; the shares add up to the capacity. Thread safe.
std::vector<double> fairShares(const std::vector<AccountDemand>&);

/// Whether an account that uses so much is beyond its share, to be asked with the last answer. Thread safe.
bool isBeyondShare(double used, double share, bool wasBeyond);

} // namespace bilberry
