#include "StandInEngine.h"
#include "StandInKinds.h"
#include <gflags/gflags.h>
#include <sstream>

DECLARE_string(listen);
DECLARE_int32(slots);
DECLARE_int32(cold_slots);
DEFINE_double(token_ms, 0, "engine: time to generate one token");
DEFINE_double(prefill_ms, 0, "engine: time before the first token");
DEFINE_double(cold_ms, 0, "engine: length of the cold period after each load");
DEFINE_bool(checks_fencing, true, "engine: refuse orders with a stale fencing token");

namespace bilberry::standin {

namespace {

constexpr Milliseconds metricsCacheLifetime { 500 };

/// The last answer to a metrics request. It is returned again until it is older than metricsCacheLifetime.
struct MetricsSnapshot {
    std::mutex mutex;
    TimePoint takenAt {};
    std::string text;
};

std::string metricsText(Engine& engine)
{
    const auto running = countsSnapshot(engine.controls).value("running", 0);
    std::ostringstream text;
    text << "engine_requests_running " << running << '\n';
    text << "engine_requests_waiting " << waitingCount(engine.limiter) << '\n';
    text << "engine_cold " << (isCold(engine.limiter) ? 1 : 0) << '\n';
    return text.str();
}

void answerMetrics(Engine& engine, const httplib::Request&, httplib::Response& response)
{
    static MetricsSnapshot snapshot;
    const std::lock_guard lock(snapshot.mutex);
    if (snapshot.text.empty() || Clock::now() - snapshot.takenAt > metricsCacheLifetime) {
        snapshot.text = metricsText(engine);
        snapshot.takenAt = Clock::now();
    }
    response.set_content(snapshot.text, "text/plain");
}

} // namespace

void runEngine()
{
    static Engine engine;
    engine.controls.counts = { { "started", 0 }, { "finished", 0 }, { "cancelled", 0 }, { "over_cold_limit", 0 }, { "running", 0 } };
    engine.controls.switches = { { "slots", FLAGS_slots }, { "cold_slots", FLAGS_cold_slots }, { "token_ms", FLAGS_token_ms }, { "prefill_ms", FLAGS_prefill_ms }, { "cold_ms", FLAGS_cold_ms }, { "checks_fencing", FLAGS_checks_fencing } };
    Server server(engine.controls);
    addOrderRoutes(engine, server);
    addCompletionRoutes(engine, server);
    server.Get("/metrics", makeHandler(engine, answerMetrics));
    server.serve(FLAGS_listen, "listening");
}

} // namespace bilberry::standin
