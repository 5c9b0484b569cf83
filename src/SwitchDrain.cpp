#include "SwitchDrain.h"

#include "CapacityPlan.h"
#include "ClusterView.h"
#include "EnginePace.h"
#include "ServiceSummary.h"

#include <algorithm>
#include <map>

namespace bilberry {

// A request that is expected to end this long after the planned switch counts as ending before it: agents order it a little late, and
// some of the other requests end late as well.
static constexpr Milliseconds tolerance { 200 };
// From this long before its planned switch on, an engine gets requests that are expected to take no longer than this and the tolerance.
// Once the switch is overdue for longer than the second time, the agent is taken not to have the weights, and the engine gets all.
static constexpr Milliseconds overdueRunTime { 300 };
static constexpr Milliseconds maxOverdueTime { 1000 };
// Time before a switch from which the engine is preferred for requests that end before it.
static constexpr Milliseconds nearSwitchTime { 3000 };

Milliseconds expectedRunTime(const EnginePerformance& engine, uint32_t promptTokens, uint32_t answerTokens)
{
    double others = std::max(engine.slots, 1U) - 1;
    double passes = static_cast<double>(answerTokens) / std::max(engine.tokensPerEvent, 1U);
    auto time = timeToFirstEvent(engine, promptTokens, others, 1) + std::max(passes - 1, 0.0) * passTime(engine, others + 1);
    return std::chrono::ceil<Milliseconds>(time);
}

static BootTimePoint plannedSwitch(const EndpointRow& row, const ServedModel& model, const NamedVersions& named, const SwitchOrder& order, Milliseconds bound)
{
    auto version = servedVersion(row.record, model.name, model.layerCount);
    auto supersession = supersededAt(named, version);
    // An engine without weights loads at once.
    if (supersession == BootTimePoint::max() || version == 0 || row.record.isDraining)
        return BootTimePoint::max();
    auto delay = plannedDelay(order, row.record.address.host, bound, SupersededUse::UntilBound);
    return delay ? supersession + *delay : BootTimePoint::max();
}

void planSwitches(ClusterView& view, const std::string& service, Milliseconds bound)
{
    const auto* settings = view.routes ? findService(*view.routes, service) : nullptr;
    if (!settings || settings->models.empty())
        return;
    const auto& model = settings->models.front();
    auto named = view.namedVersions.find(model.name);
    auto isSuperseded = [&](const EndpointRow& row) {
        return row.isListed && row.record.service == service && supersededAt(named->second, servedVersion(row.record, model.name, model.layerCount)) != BootTimePoint::max();
    };
    const auto& rows = view.endpoints.rows;
    bool isAnyPlanned = bound != Milliseconds(0) && named != view.namedVersions.end() && std::any_of(rows.begin(), rows.end(), isSuperseded);
    std::map<std::string, SwitchOrder> orders;
    if (isAnyPlanned) {
        auto engines = listServiceEngines(view.endpoints, service, model, true);
        for (const auto& engine : engines) {
            if (orders.count(engine.dataCentre) == 0)
                orders[engine.dataCentre] = switchOrderOf(engines, engine.dataCentre);
        }
    }
    for (auto& row : view.endpoints.rows) {
        if (row.record.service != service || !row.record.isModelEngine)
            continue;
        row.switchPlannedAt = isAnyPlanned && row.isListed ? plannedSwitch(row, model, named->second, orders[row.record.dataCentre], bound) : BootTimePoint::max();
    }
}

SwitchFit switchFit(const EndpointRow& row, Milliseconds runTime, BootTimePoint now)
{
    bool isPlanned = row.switchPlannedAt != BootTimePoint::max() && now - row.switchPlannedAt < maxOverdueTime;
    if (!isPlanned || runTime == Milliseconds(0))
        return SwitchFit::Unaffected;
    bool ends = now + runTime <= std::max(row.switchPlannedAt, now + overdueRunTime) + tolerance;
    if (!ends)
        return SwitchFit::Outlasts;
    return row.switchPlannedAt - now < nearSwitchTime ? SwitchFit::EndsSoonBefore : SwitchFit::Unaffected;
}

bool suitsBetter(const EndpointRow& row, const EndpointRow& other, Milliseconds runTime, BootTimePoint now)
{
    auto fit = switchFit(row, runTime, now);
    auto otherFit = switchFit(other, runTime, now);
    if (fit != otherFit)
        return fit < otherFit;
    if (fit == SwitchFit::EndsSoonBefore)
        return row.switchPlannedAt < other.switchPlannedAt;
    return fit == SwitchFit::Outlasts && row.switchPlannedAt > other.switchPlannedAt;
}

} // namespace bilberry
