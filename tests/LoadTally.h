/// What came back, counted for the load generator's report.
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

/// Results of all workers.
struct Tally {
    std::mutex mutex;
    uint64_t sent = 0;
    uint64_t resent = 0;
    std::map<Verdict, uint64_t> verdicts;
    std::map<std::string, uint64_t> refusalReasons; ///< By reason.
    std::map<std::string, uint64_t> outcomes;
    std::map<std::string, AccountTally> accounts;
    std::vector<Duration> latencies;
    std::vector<Duration> firstByteLatencies;
};

/// Counts a call by its last answer. Thread safe.
void addAnswer(Tally&, const Call&, const Answer&, uint64_t resent);

/// The report as one JSON object, times in milliseconds. Precondition: no worker counts any more.
nlohmann::json makeReport(Tally&);

} // namespace bilberry::standin
