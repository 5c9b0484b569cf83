#include "Digest.h"
#include "StandInGate.h"
#include "StandInKinds.h"
#include "StandInServer.h"
#include <gflags/gflags.h>
#include <thread>

DECLARE_string(listen);
DECLARE_string(name);
DECLARE_double(work_ms);
DECLARE_int32(slots);
DECLARE_int32(cold_slots);

namespace bilberry::standin {

namespace {

struct PlainService {
    Switches switches;
    Counters counters;
    Gate gate { switches, counters, {}, {}, {}, 0, 0, {} };
};

void run(PlainService& service, const std::string& key)
{
    addCount(service.counters, "started");
    if (!key.empty()) {
        addGroupCount(service.counters, "runs_by_key", key);
        printLine("run " + key);
    }
    std::this_thread::sleep_for(switchDuration(service.switches, "work_ms"));
    addCount(service.counters, "completed");
}

void answerEcho(const httplib::Request& request, httplib::Response& response, const std::string& key)
{
    answerJson(response, 200, { { "service", FLAGS_name }, { "path", request.path }, { "body_sha256", sha256Hex(request.body) }, { "key", key } });
}

void handle(PlainService& service, const httplib::Request& request, httplib::Response& response)
{
    const int connection = connectionOf(request);
    const std::string key = request.get_header_value("Idempotency-Key");
    if (takeFault(service.switches, "crash_before_run"))
        std::_Exit(1);
    const Admission admission = enterGate(service.gate, connection);
    if (admission != Admission::Admitted)
        return answerError(response, 503, "cold");
    run(service, key);
    leaveGate(service.gate);
    if (takeFault(service.switches, "crash_after_run"))
        std::_Exit(1);
    if (takeFault(service.switches, "drop_reply"))
        ::shutdown(connection, SHUT_RDWR);
    answerEcho(request, response, key);
}

} // namespace

void runPlain()
{
    static PlainService service;
    declareCounts(service.counters, { "started", "completed", "over_cold_limit", "running", "max_running" });
    mergeSwitches(service.switches, { { "work_ms", FLAGS_work_ms }, { "slots", FLAGS_slots }, { "cold_slots", FLAGS_cold_slots } });
    Server server(service.switches, service.counters);
    const auto handler = route(service, handle);
    server.Get(".*", handler).Post(".*", handler).Put(".*", handler);
    server.Patch(".*", handler).Delete(".*", handler).Options(".*", handler);
    server.serve(FLAGS_listen, "listening");
}

} // namespace bilberry::standin
