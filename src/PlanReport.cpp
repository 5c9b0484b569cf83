#include "PlanReport.h"

#include "Calendar.h"

#include <algorithm>
#include <ctime>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

static constexpr std::chrono::hours oneDay { 24 };

std::optional<WallTime> parseCivilDate(const std::string& text)
{
    std::tm fields {};
    const char* end = strptime(text.c_str(), "%Y-%m-%d", &fields);
    if (!end || *end != '\0')
        return std::nullopt;
    auto day = std::chrono::system_clock::from_time_t(timegm(&fields));
    // timegm() turns a day that the month doesn't have, such as 31 June, into another day.
    if (formatCivilDate(day) != text)
        return std::nullopt;
    return day;
}

std::string formatCivilDate(WallTime time)
{
    return fmt::format("{:%Y-%m-%d}", fmt::gmtime(std::chrono::system_clock::to_time_t(time)));
}

static PlannedBurst planBurst(const BurstRule& burst, size_t ruleIndex, WallTime day)
{
    PlannedBurst planned { ruleIndex, std::nullopt, false };
    auto tolerance = calendarTolerance(burst.calendar);
    auto activeTime = oneDay * burst.durationDays + tolerance;
    // The search begins early enough to find a burst that has begun and isn't over yet.
    auto begin = findCalendarDay(burst.calendar, burst.month, burst.day, burst.year, day - activeTime + oneDay);
    if (!begin)
        return planned;
    planned.window = BurstWindow { *begin - oneDay * burst.leadDays - tolerance, *begin, *begin + oneDay * burst.durationDays, *begin + activeTime };
    planned.isActive = day >= planned.window->inPlaceFrom && day < planned.window->inPlaceUntil;
    return planned;
}

PlanReport makePlanReport(const Configuration& configuration, const LiveList* liveList, WallTime day)
{
    PlanReport report { day, placeModels(configuration, liveList, day), {} };
    for (size_t ruleIndex = 0; ruleIndex < configuration.rules.bursts.size(); ++ruleIndex)
        report.bursts.push_back(planBurst(configuration.rules.bursts[ruleIndex], ruleIndex, day));
    return report;
}

static std::string formatBurst(const Configuration& configuration, const PlannedBurst& planned)
{
    const BurstRule& burst = configuration.rules.bursts[planned.ruleIndex];
    auto text = fmt::format("burst {}: {} replicas of {}, {} {}-{}: ", burst.name, burst.replicas, configuration.inventory.models[burst.model].name, burst.calendar, burst.month, burst.day);
    if (!planned.window)
        return text + "no such day in the next two years\n";
    return text + fmt::format("{} to {}, in place from {}{}\n", formatCivilDate(planned.window->begin), formatCivilDate(planned.window->end - oneDay), formatCivilDate(planned.window->inPlaceFrom), planned.isActive ? ", active" : "");
}

// Formats the VMs of one model, one line for each data centre.
static std::string formatModel(const Configuration& configuration, const PlanReport& report, RowIndex model)
{
    const Inventory& inventory = configuration.inventory;
    auto target = findReplicaTarget(configuration, model, report.day);
    std::string text = fmt::format("model {}: {} replicas wanted: {}\n", inventory.models[model].name, target.replicas, target.reason);
    for (RowIndex dataCentre = 0; dataCentre < inventory.dataCentres.size(); ++dataCentre) {
        std::vector<std::string> names;
        for (const auto& row : report.placement.rows) {
            if (row.model == model && inventory.vms[row.vm].dataCentre == dataCentre)
                names.push_back(inventory.vms[row.vm].name);
        }
        text += fmt::format("  {}{}: {} on {}\n", inventory.dataCentres[dataCentre].name, isDataCentreOutOfService(configuration, dataCentre) ? " (out)" : "", names.size(), names.empty() ? "no VM" : fmt::format("{}", fmt::join(names, ", ")));
    }
    return text;
}

std::string formatPlan(const Configuration& configuration, const PlanReport& report)
{
    std::string text = fmt::format("plan for {}\n", formatCivilDate(report.day));
    for (const auto& burst : report.bursts)
        text += formatBurst(configuration, burst);
    for (RowIndex model = 0; model < configuration.inventory.models.size(); ++model)
        text += formatModel(configuration, report, model);
    for (const auto& shortfall : report.placement.shortfalls)
        text += fmt::format("short: {} wants {}, gets {}: {}\n", configuration.inventory.models[shortfall.model].name, shortfall.wanted, shortfall.placed, shortfall.reason);
    return text;
}

json toJson(const Configuration& configuration, const PlanReport& report)
{
    const Inventory& inventory = configuration.inventory;
    json answer { { "day", formatCivilDate(report.day) }, { "bursts", json::array() }, { "placement", json::array() }, { "shortfalls", json::array() } };
    for (const auto& planned : report.bursts) {
        json burst { { "name", configuration.rules.bursts[planned.ruleIndex].name }, { "active", planned.isActive } };
        if (planned.window) {
            burst["in_place_from"] = formatCivilDate(planned.window->inPlaceFrom);
            burst["first_day"] = formatCivilDate(planned.window->begin);
            burst["last_day"] = formatCivilDate(planned.window->end - oneDay);
        }
        answer["bursts"].push_back(burst);
    }
    for (const auto& row : report.placement.rows)
        answer["placement"].push_back({ { "model", inventory.models[row.model].name }, { "vm", inventory.vms[row.vm].name }, { "data_centre", inventory.dataCentres[inventory.vms[row.vm].dataCentre].name }, { "reason", row.reason } });
    for (const auto& shortfall : report.placement.shortfalls)
        answer["shortfalls"].push_back({ { "model", inventory.models[shortfall.model].name }, { "wanted", shortfall.wanted }, { "placed", shortfall.placed }, { "reason", shortfall.reason } });
    return answer;
}

} // namespace bilberry
