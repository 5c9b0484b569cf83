/// The burn report: how much of its error budget each service and client account has used up, and how fast. Operators read it
/// to tell a lasting violation of the service-level objective from a short spike or a past fault. Pure functions over plain structs.
#pragma once

#include "BurnSnapshot.h"
#include "Configuration.h"

#include <map>
#include <string>
#include <vector>

namespace bilberry {

/// Counts of the requests that ended within one window, by how they ended.
struct OutcomeCounts {
    double good = 0; ///< Requests answered completely with the first byte within the latency objective.
    std::map<std::string, double> badByCause; ///< The key is the cause: "slow", "cut" or a refusal reason.
    std::map<std::string, double> callerFaultsByReason; ///< Refusals that the caller caused, which don't count against the objective; the key is the reason.
};

/// The bad requests of all causes.
double countBadRequests(const OutcomeCounts&);

/// The burn rate of one window: the share of bad requests over the share that the objective allows. A rate of 1 uses up
/// exactly the error budget of the window. Precondition: `objective` is below 1.
double computeBurnRate(const OutcomeCounts&, double objective);

/// How urgent a row is. The burn levels need both windows above the threshold, so that neither a past fault (long window only)
/// nor a short spike (short window only) raises an alarm.
enum class BurnLevel : uint8_t {
    WithinBudget, ///< The long window is within its error budget.
    BudgetSpent, ///< The long window has used up its budget, but the short window's burn rate is at most 1.
    SlowBurn, ///< Both windows have a burn rate above 1.
    FastBurn, ///< Both windows have a burn rate of at least `fastBurnRate`.
};

/// The burn rate that uses up 2 % of a 30-day error budget in one hour.
constexpr double fastBurnRate = 14.4;

/// The burn of one service and client account.
struct BurnRow {
    std::string service;
    std::string caller; ///< The name of the client account.
    double objective = 0; ///< The share of requests that should be good, between 0 and 1.
    Milliseconds latencyObjective { 0 }; ///< The longest time to the first byte of a good answer.
    OutcomeCounts shortWindow;
    OutcomeCounts longWindow;
    double shortBurn = 0; ///< The burn rate of the short window.
    double longBurn = 0; ///< The burn rate of the long window.
    double budgetLeft = 1; ///< The share of the long window's error budget that is left; negative when it is overspent.
    BurnLevel level = BurnLevel::WithinBudget;
    std::string worstDataCentre; ///< The data centre whose entries have the largest share of bad requests; empty without bad requests.
};

/// An event of the long window that may explain a burn, such as a data centre out of service, as text for a person.
struct BurnAnnotation {
    std::string text;
};

struct BurnReport {
    Milliseconds shortWindow { 0 };
    Milliseconds longWindow { 0 }; ///< Zero when the window begins with the start of each process.
    std::vector<BurnRow> rows; ///< Sorted by service and client account; rows without requests are left out.
    std::map<std::string, double> unattributedRefusals; ///< Refusals without a known service and client account; the key is the reason.
    std::vector<BurnAnnotation> annotations;
};

/// Whether a refusal with this reason counts against the objective. An unknown reason does. Thread safe.
bool countsAgainstObjective(std::string_view reason);

/// Computes the report from the counter increases of the two windows, which subtractSnapshot() gives. It doesn't set the lengths
/// of the windows. Thread safe.
BurnReport makeBurnReport(const Configuration&, const BurnSnapshot& shortGrowth, const BurnSnapshot& longGrowth);

} // namespace bilberry
