#include "BurnText.h"

#include "BurnReport.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

static std::string_view toText(BurnLevel level)
{
    switch (level) {
    case BurnLevel::WithinBudget:
        return "within";
    case BurnLevel::BudgetSpent:
        return "spent";
    case BurnLevel::SlowBurn:
        return "slow-burn";
    case BurnLevel::FastBurn:
        return "fast-burn";
    }
    return "within";
}

static std::string formatCauses(const std::map<std::string, double>& causes)
{
    std::string text;
    for (const auto& [cause, count] : causes)
        text += fmt::format("{}{} {:.0f}", text.empty() ? "" : ", ", cause, count);
    return text;
}

static std::string formatWindow(Milliseconds window)
{
    return window.count() == 0 ? "since the start of each process" : fmt::format("{:.1f} s", static_cast<double>(window.count()) / 1000);
}

static std::string formatBurnRow(const BurnRow& row)
{
    double bad = countBadRequests(row.longWindow);
    auto text = fmt::format("{:<12} {:<18} {:>8.4f} {:>6} {:>9.0f} {:>7.0f} {:>8.1f} {:>8.1f} {:>7.0f} %  {}\n", row.service, row.caller, row.objective, row.latencyObjective.count(),
        row.longWindow.good, bad, row.shortBurn, row.longBurn, 100 * row.budgetLeft, toText(row.level));
    if (bad > 0)
        text += fmt::format("             bad: {}; worst data centre {}\n", formatCauses(row.longWindow.badByCause), row.worstDataCentre);
    if (!row.longWindow.callerFaultsByReason.empty())
        text += fmt::format("             refused through the caller's fault: {}\n", formatCauses(row.longWindow.callerFaultsByReason));
    return text;
}

std::string formatBurnReport(const BurnReport& report)
{
    auto text = fmt::format("short window {}, long window {}\n\n", formatWindow(report.shortWindow), formatWindow(report.longWindow));
    text += fmt::format("{:<12} {:<18} {:>8} {:>6} {:>9} {:>7} {:>8} {:>8} {:>9}  level\n", "service", "account", "object.", "ms", "good", "bad", "short", "long", "budget");
    for (const auto& row : report.rows)
        text += formatBurnRow(row);
    if (report.rows.empty())
        text += "no requests in the long window\n";
    if (!report.unattributedRefusals.empty())
        text += fmt::format("\nrefused without a known service and account: {}\n", formatCauses(report.unattributedRefusals));
    for (const auto& annotation : report.annotations)
        text += fmt::format("mark: {}\n", annotation.text);
    return text;
}

static json toJson(const OutcomeCounts& counts)
{
    return { { "good", counts.good }, { "bad", countBadRequests(counts) }, { "bad_by_cause", counts.badByCause }, { "caller_faults", counts.callerFaultsByReason } };
}

json toJson(const BurnReport& report)
{
    json rows = json::array();
    for (const auto& row : report.rows) {
        rows.push_back({ { "service", row.service }, { "caller", row.caller }, { "objective", row.objective }, { "latency_objective_ms", row.latencyObjective.count() },
            { "short", toJson(row.shortWindow) }, { "long", toJson(row.longWindow) }, { "short_burn_rate", row.shortBurn }, { "long_burn_rate", row.longBurn },
            { "budget_left", row.budgetLeft }, { "level", toText(row.level) }, { "worst_data_centre", row.worstDataCentre } });
    }
    json annotationTexts = json::array();
    for (const auto& annotation : report.annotations)
        annotationTexts.push_back(annotation.text);
    return { { "short_window_ms", report.shortWindow.count() }, { "long_window_ms", report.longWindow.count() }, { "rows", rows }, { "unattributed", report.unattributedRefusals }, { "marks", annotationTexts } };
}

} // namespace bilberry
