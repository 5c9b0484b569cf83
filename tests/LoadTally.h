/// Counts the answers and latencies for the load generator's report.
#pragma once

#include "LoadAnswer.h"
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

namespace bilberry::standin {

struct AccountTally {
    uint64_t sent = 0;
    uint64_t ok = 0;
};

/// The results of all workers.
struct Tally {
    std::mutex mutex;
    uint64_t sent = 0;
    uint64_t resent = 0; ///< The number of repeated attempts.
    std::map<Verdict, uint64_t> verdicts;
    std::map<std::string, uint64_t> refusalReasons; ///< The number of refusals for each reason.
    std::map<std::string, uint64_t> outcomes; ///< The number of answers for each stated outcome.
    std::map<std::string, AccountTally> accounts; ///< Counts for each client account.
    /// Times from when requests were due to the end of their answers; of successful requests only.
    std::vector<Duration> latencies;
    /// Times from when requests were due to the first bytes of their answers; of successful requests only.
    std::vector<Duration> firstByteLatencies;
};

/// Counts a request by its last answer. Thread safe.
void addAnswer(Tally&, const Call&, const Answer&, uint64_t resent);

/// Makes the report as one JSON object, with times in milliseconds. Precondition: all workers have ended.
nlohmann::json makeReport(Tally&);

} // namespace bilberry::standin
