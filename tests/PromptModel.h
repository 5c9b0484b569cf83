/// A play of a fleet whose requests share parts of their prompts, some of which crash endpoints.
#pragma once

#include "Types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bilberry {

enum class Policy : uint8_t {
    PlainCount, ///< Refuses a part that was at three crashes, and clears none.
    Cleared, ///< Refuses each part with three crashes since it was last cleared.
    Separated, ///< As the entries do.
};

struct ModelPlay {
    Policy policy = Policy::Separated;
    std::vector<uint64_t> crashingParts; ///< If it is empty, all requests are sound.
    bool losesEndpoints = false; ///< Whether endpoints end for other reasons too.
    int lostReportsPercent = 0; ///< Share of the reports between entries that are lost.
    int accounts = 1; ///< Client accounts. Each has a first part of its own; crashing requests are those of the first one.
    int arrivalPercent = 60; ///< Chance of a request in each step.
    int crashingOneIn = 50; ///< Share of the crashing ones among the requests.
    uint64_t seed = 0;
    size_t endpoints = 24;
    std::optional<Milliseconds> timeBetweenLosses {}; ///< If given, each endpoint is lost once for another reason, one after another.
};

struct ModelTally {
    std::map<uint64_t, int> crashes; ///< By crashing part.
    std::map<uint64_t, Milliseconds> fifthCrashAt;
    std::map<uint64_t, int> sentLate; ///< Requests with the part that were sent three seconds after its fifth crash or later.
    int soundBefore = 0; ///< Sound requests with the first part of the crashing ones.
    int begunBefore = 0;
    int soundAfter = 0; ///< Sound requests from six seconds after the last crash or loss that counts on.
    int begunAfter = 0;
    int sound = 0; ///< All sound requests with the first part of the crashing ones.
    int refused = 0; ///< Of these, those that were refused or had to wait.
};

/// Plays a fleet of entries and endpoints for 90 s; the crashing requests come from 10 s on. The same play gives the same tally.
ModelTally playFleet(const ModelPlay&);

} // namespace bilberry
