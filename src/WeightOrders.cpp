/// Sends load and unload orders to the engine of this VM and reads the engine's state.

#include "EngineClient.h"
#include "Log.h"
#include "WeightState.h"

#include <fmt/format.h>

namespace bilberry {

static constexpr Milliseconds engineStateInterval { 200 };
static constexpr Milliseconds orderInterval { 100 };
// A wait between orders that takes longer than this means that the process was paused, so its state may be out of date.
static constexpr Milliseconds processPauseThreshold { 2000 };
static constexpr Milliseconds loadTimeout { 120'000 };
static constexpr Milliseconds orderRetryInterval { 500 };

static void refreshEngineState(WeightState& state, const std::string& engine)
{
    auto sentAt = Clock::now();
    auto models = readEngineModels(state.node, engine);
    auto isCold = readEngineColdState(state.node, engine);
    std::lock_guard<std::mutex> lock(state.mutex);
    // A response that arrives late does not replace a newer one.
    if (!models.ok() || sentAt < state.engineState.requestSentAt)
        return;
    bool wasCold = state.engineState.isCold;
    state.engineState = { std::move(*models), sentAt, isCold.ok() ? *isCold : wasCold };
}

// The address of the engine of this VM; empty when there is none. The back end of a plain service is not an engine: it would
// execute a request that an engine answers as a query for its state.
static std::string findEngineAddress(const Node& node)
{
    auto configuration = node.publishedState.configuration();
    RowIndex ownVm = configuration ? findOwnVm(node, *configuration) : noRow;
    if (ownVm == noRow)
        return {};
    const Vm& vm = configuration->inventory.vms[ownVm];
    bool isModel = configuration->inventory.services[vm.service].kind == ServiceKind::Model;
    return isModel ? vm.backEndAddress : std::string();
}

void runEngineStateReader(WeightState& state)
{
    while (state.waitUnlessStopping(engineStateInterval)) {
        auto engine = findEngineAddress(state.node);
        if (!engine.empty())
            refreshEngineState(state, engine);
    }
}

namespace {

// One order with its fencing token.
struct FencedOrder {
    std::string model;
    EngineOrder order;
    uint64_t fencingToken = 0;
};

} // namespace

static std::vector<FencedOrder> takeDueOrders(WeightState& state)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    std::vector<FencedOrder> due;
    auto now = Clock::now();
    for (auto& row : state.rows) {
        auto order = chooseEngineOrder(row, state.engineState, state.resumedAt, now);
        if (order.kind == OrderKind::None)
            continue;
        row.nextOrderAt = now + orderRetryInterval;
        state.lastFencingToken = nextFencingToken(state.lastFencingToken, state.engineState);
        due.push_back({ row.model, order, state.lastFencingToken });
    }
    return due;
}

// The address from which the engine reads weights: this process's own listening address where it is known, which keeps the
// transfer on the VM, otherwise the VM's address in the inventory.
static std::string findOwnAddress(const Node& node)
{
    const Address& listen = node.settings.listenAddress;
    if (listen.port != 0 && listen.host != "0.0.0.0")
        return toText(listen);
    auto configuration = node.publishedState.configuration();
    return configuration->inventory.vms[findOwnVm(node, *configuration)].address;
}

static absl::Status sendEngineOrder(WeightState& state, const std::string& engine, const FencedOrder& fenced)
{
    const EngineOrder& order = fenced.order;
    if (order.kind == OrderKind::Unload)
        return sendUnloadOrder(state.node, engine, fenced.model, fenced.fencingToken);
    auto source = fmt::format("http://{}/weights/{}", findOwnAddress(state.node), order.digest);
    return sendLoadOrder(state.node, engine, { fenced.model, order.digest, source, fenced.fencingToken }, loadTimeout);
}

static void executeOrder(WeightState& state, const std::string& engine, const FencedOrder& fenced)
{
    auto status = sendEngineOrder(state, engine, fenced);
    bool isLoad = fenced.order.kind == OrderKind::Load;
    state.node.metrics.addToCounter(isLoad ? "bilberry_load_orders_total" : "bilberry_unload_orders_total", { { "result", status.ok() ? "ok" : "failed" } });
    logEvent(status.ok() ? LogLevel::Info : LogLevel::Warning, isLoad ? "load_order" : "unload_order", "model={} digest={} fencing={} result=\"{}\"", fenced.model, fenced.order.digest, fenced.fencingToken, std::string(status.message()));
    if (status.ok() && isLoad) {
        std::lock_guard<std::mutex> lock(state.mutex);
        if (WeightRow* row = findWeightRow(state.rows, fenced.model))
            row->lastLoad = { fenced.order.digest, fenced.fencingToken };
    }
    if (absl::IsFailedPrecondition(status)) {
        std::lock_guard<std::mutex> lock(state.mutex);
        state.lastFencingToken = std::max(state.lastFencingToken, raiseFencingToken(fenced.fencingToken));
    }
    refreshEngineState(state, engine);
}

void runEngineOrders(WeightState& state)
{
    for (;;) {
        auto waitStartedAt = Clock::now();
        if (!state.waitUnlessStopping(orderInterval))
            return;
        auto now = Clock::now();
        if (now - waitStartedAt > processPauseThreshold) {
            logEvent(LogLevel::Warning, "paused", "ms={}", std::chrono::duration_cast<Milliseconds>(now - waitStartedAt).count());
            state.node.metrics.addToCounter("bilberry_pauses_total");
            std::lock_guard<std::mutex> lock(state.mutex);
            state.resumedAt = now;
        }
        auto engine = findEngineAddress(state.node);
        if (engine.empty())
            continue;
        for (const auto& order : takeDueOrders(state))
            executeOrder(state, engine, order);
    }
}

} // namespace bilberry
