/// The service-level burn report: per service and client account, how much of the error budget is used up and how fast.
/// Pure functions over plain structs.
#pragma once

#include "BurnSnapshot.h"
#include "Configuration.h"

#include <map>
#include <string>
#include <vector>

namespace bilberry {

/// A request that came to its end within one window, by how it ended.
struct OutcomeCounts {
    double good = 0; ///< Answered whole, the first byte within the latency objective.
    std::map<std::string, double> badByCause; ///< By cause: "slow", "cut" or a refusal reason.
    std::map<std::string, double> callerFaultsByReason; ///< Refusals that the caller brought about; not held against the objective.
};

double countBadRequests(const OutcomeCounts&);

/// Burn of one window: 1 uses up the error budget of the window just at its end.
double computeBurnRate(const OutcomeCounts&, double objective);

/// How urgent a row is: both windows must agree, so that an old fault or a short spike does not count.
enum class BurnLevel : uint8_t {
    WithinBudget, ///< The long window is within its budget.
    BudgetSpent, ///< The long window's budget is used up, but the short window does not burn.
    SlowBurn, ///< Both use up more than the budget.
    FastBurn, ///< Both burn at least at `fastBurnRate`.
};

/// The rate that uses up 2 % of a 30-day budget in one hour.
constexpr double fastBurnRate = 14.4;

/// One service and client account.
struct BurnRow {
    std::string service;
    std::string caller;
    double objective = 0;
    Milliseconds latencyObjective { 0 };
    OutcomeCounts shortWindow;
    OutcomeCounts longWindow;
    double shortBurn = 0;
    double longBurn = 0;
    double budgetLeft = 1; ///< Share of the long window's budget; negative when overspent.
    BurnLevel level = BurnLevel::WithinBudget;
    std::string worstDataCentre; ///< Of the entries, the one with the largest share of bad requests; empty without any.
};

/// What else happened in the long window.
struct BurnAnnotation {
    std::string text;
};

struct BurnReport {
    Milliseconds shortWindow { 0 };
    Milliseconds longWindow { 0 }; ///< Zero: since the start of each process.
    std::vector<BurnRow> rows; ///< By service and account; those without requests are left out.
    std::map<std::string, double> unattributedRefusals; ///< Refusals without a known service and account, by reason.
    std::vector<BurnAnnotation> annotations;
};

/// Whether a refusal with this reason is held against the objective. Thread safe.
bool countsAgainstObjective(std::string_view reason);

/// Makes the report. `shortGrowth` and `longGrowth` come from subtractSnapshot(). Thread safe.
BurnReport makeBurnReport(const Configuration&, const BurnSnapshot& shortGrowth, const BurnSnapshot& longGrowth);

} // namespace bilberry
