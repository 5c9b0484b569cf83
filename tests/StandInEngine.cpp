#include "StandInEngine.h"
#include "StandInKinds.h"
#include <gflags/gflags.h>
#include <sstream>

DECLARE_string(listen);
DECLARE_int32(slots);
DECLARE_int32(cold_slots);
DECLARE_double(token_ms);
DECLARE_double(prefill_ms);
DECLARE_double(cold_ms);
DECLARE_bool(checks_fencing);

namespace bilberry::standin {

namespace {

constexpr Milliseconds metricsLag { 500 };

/// The last metrics answer; it is given again until it is older than the lag.
struct MetricsSnapshot {
    std::mutex mutex;
    TimePoint taken {};
    std::string text;
};

std::string metricsText(Engine& engine)
{
    const auto running = countsSnapshot(engine.counters).value("running", 0);
    std::ostringstream text;
    text << "engine_requests_running " << running << '\n';
    text << "engine_requests_waiting " << waitingCount(engine.gate) << '\n';
    text << "engine_cold " << (isCold(engine.gate) ? 1 : 0) << '\n';
    return text.str();
}

void answerMetrics(Engine& engine, const httplib::Request&, httplib::Response& response)
{
    static MetricsSnapshot snapshot;
    const std::lock_guard lock(snapshot.mutex);
    if (snapshot.text.empty() || Clock::now() - snapshot.taken > metricsLag) {
        snapshot.text = metricsText(engine);
        snapshot.taken = Clock::now();
    }
    response.set_content(snapshot.text, "text/plain");
}

void handleSwitches(Engine& engine, const nlohmann::json& patch)
{
    if (patch.value("crash", false))
        std::_Exit(1);
    if (patch.value("forget", false)) {
        const std::lock_guard lock(engine.mutex);
        engine.models.clear();
    }
}

void setSwitchesFromFlags(Engine& engine)
{
    mergeSwitches(engine.switches, { { "slots", FLAGS_slots }, { "cold_slots", FLAGS_cold_slots }, { "token_ms", FLAGS_token_ms }, { "prefill_ms", FLAGS_prefill_ms }, { "cold_ms", FLAGS_cold_ms }, { "checks_fencing", FLAGS_checks_fencing } });
}

} // namespace

void runEngine()
{
    static Engine engine;
    declareCounts(engine.counters, { "started", "finished", "cancelled", "over_cold_limit", "load_orders", "stale_orders_refused", "stale_orders_accepted", "running", "max_running" });
    setSwitchesFromFlags(engine);
    engine.switches.changed = [](const nlohmann::json& patch) { handleSwitches(engine, patch); };
    Server server(engine.switches, engine.counters);
    addOrderRoutes(engine, server);
    addCompletionRoutes(engine, server);
    server.Get("/metrics", route(engine, answerMetrics));
    server.serve(FLAGS_listen, "listening");
}

} // namespace bilberry::standin
