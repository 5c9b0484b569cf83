/// Orders to the engine beside this process, and its read-back.

#include "EngineClient.h"
#include "Log.h"
#include "WeightState.h"

#include <fmt/format.h>

namespace bilberry {

static constexpr Milliseconds readBackInterval { 200 };
static constexpr Milliseconds orderInterval { 100 };
// A wait that takes longer than this means that the process was paused: what it believes may be old.
static constexpr Milliseconds orderPauseLimit { 2000 };
static constexpr Milliseconds loadTimeout { 120'000 };
static constexpr Milliseconds orderRetryInterval { 500 };

static void readBackOnce(WeightState& state, const std::string& engine)
{
    auto askedAt = Clock::now();
    auto models = readEngineModels(state.node, engine);
    auto isCold = readEngineCold(state.node, engine);
    std::lock_guard<std::mutex> lock(state.mutex);
    // A late answer does not replace a newer one.
    if (!models.ok() || askedAt < state.readBack.askedAt)
        return;
    bool wasCold = state.readBack.isCold;
    state.readBack = { std::move(*models), askedAt, isCold.ok() ? *isCold : wasCold };
}

// Address of the engine beside this process; empty when there is none. A plain service is no engine: it would run
// what an engine takes for a question.
static std::string findEngine(const Node& node)
{
    auto configuration = node.published.configuration();
    RowIndex own = configuration ? findOwnVm(node, *configuration) : noRow;
    if (own == noRow)
        return {};
    const Vm& vm = configuration->inventory.vms[own];
    bool isModel = configuration->inventory.services[vm.service].kind == ServiceKind::Model;
    return isModel ? vm.backEnd : std::string();
}

void runReadBack(WeightState& state)
{
    while (state.waitOrStop(readBackInterval)) {
        auto engine = findEngine(state.node);
        if (!engine.empty())
            readBackOnce(state, engine);
    }
}

namespace {

// One order with its number.
struct NumberedOrder {
    std::string model;
    EngineOrder order;
    uint64_t fencing = 0;
};

} // namespace

static std::vector<NumberedOrder> takeDueOrders(WeightState& state)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    std::vector<NumberedOrder> due;
    auto now = Clock::now();
    for (auto& row : state.rows) {
        auto order = chooseOrder(row, state.readBack, state.wokenAt, now);
        if (order.kind == OrderKind::None)
            continue;
        row.nextOrder = now + orderRetryInterval;
        state.lastFencing = nextFencing(state.lastFencing, state.readBack);
        due.push_back({ row.model, order, state.lastFencing });
    }
    return due;
}

// Where the engine reads from: this process's own listening address where it is known, which keeps the bytes on the VM.
static std::string ownAddress(const Node& node)
{
    const Address& listen = node.settings.listen;
    if (listen.port != 0 && listen.host != "0.0.0.0")
        return toText(listen);
    auto configuration = node.published.configuration();
    return configuration->inventory.vms[findOwnVm(node, *configuration)].address;
}

static absl::Status give(WeightState& state, const std::string& engine, const NumberedOrder& numbered)
{
    const EngineOrder& order = numbered.order;
    if (order.kind == OrderKind::Unload)
        return orderUnload(state.node, engine, numbered.model, numbered.fencing);
    auto source = fmt::format("http://{}/weights/{}", ownAddress(state.node), order.digest);
    return orderLoad(state.node, engine, { numbered.model, order.digest, source, numbered.fencing }, loadTimeout);
}

static void carryOut(WeightState& state, const std::string& engine, const NumberedOrder& numbered)
{
    auto status = give(state, engine, numbered);
    bool isLoad = numbered.order.kind == OrderKind::Load;
    state.node.metrics.count(isLoad ? "bilberry_load_orders_total" : "bilberry_unload_orders_total", { { "result", status.ok() ? "ok" : "failed" } });
    logEvent(status.ok() ? LogLevel::Info : LogLevel::Warning, isLoad ? "load_order" : "unload_order", "model={} digest={} fencing={} result=\"{}\"", numbered.model, numbered.order.digest, numbered.fencing, std::string(status.message()));
    if (status.ok() && isLoad) {
        std::lock_guard<std::mutex> lock(state.mutex);
        if (WeightRow* row = findWeightRow(state.rows, numbered.model))
            row->lastLoad = { numbered.order.digest, numbered.fencing };
    }
    if (absl::IsFailedPrecondition(status)) {
        std::lock_guard<std::mutex> lock(state.mutex);
        state.lastFencing = std::max(state.lastFencing, raiseFencing(numbered.fencing));
    }
    readBackOnce(state, engine);
}

void runOrders(WeightState& state)
{
    for (;;) {
        auto before = Clock::now();
        if (!state.waitOrStop(orderInterval))
            return;
        auto now = Clock::now();
        if (now - before > orderPauseLimit) {
            logEvent(LogLevel::Warning, "paused", "ms={}", std::chrono::duration_cast<Milliseconds>(now - before).count());
            state.node.metrics.count("bilberry_pauses_total");
            std::lock_guard<std::mutex> lock(state.mutex);
            state.wokenAt = now;
        }
        auto engine = findEngine(state.node);
        if (engine.empty())
            continue;
        for (const auto& order : takeDueOrders(state))
            carryOut(state, engine, order);
    }
}

} // namespace bilberry
