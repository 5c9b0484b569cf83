#include "Digest.h"
#include "StandInConcurrencyLimiter.h"
#include "StandInKinds.h"
#include "StandInServer.h"
#include <gflags/gflags.h>
#include <thread>

DECLARE_string(listen);
DECLARE_int32(slots);
DECLARE_int32(cold_slots);
DEFINE_string(name, "plain", "plain: name of the service that the answers state");
DEFINE_double(work_ms, 0, "plain: time to run one request");

namespace bilberry::standin {

namespace {

struct PlainService {
    Controls controls;
    ConcurrencyLimiter limiter { controls, {}, {}, {}, 0, 0, {} };
};

void runRequest(PlainService& service, const std::string& idempotencyKey)
{
    addCount(service.controls, "started");
    if (!idempotencyKey.empty()) {
        addGroupCount(service.controls, "runs_by_key", idempotencyKey);
        printLine("run " + idempotencyKey);
    }
    std::this_thread::sleep_for(switchDuration(service.controls, "work_ms"));
}

void answerEcho(const httplib::Request& request, httplib::Response& response, const std::string& idempotencyKey)
{
    answerJson(response, 200, { { "service", FLAGS_name }, { "path", request.path }, { "body_sha256", sha256Hex(request.body) }, { "key", idempotencyKey } });
}

void handleRequest(PlainService& service, const httplib::Request& request, httplib::Response& response)
{
    const int connection = connectionSocket(request);
    const std::string idempotencyKey = request.get_header_value("Idempotency-Key");
    if (consumeFault(service.controls, "crash_before_run"))
        std::_Exit(1);
    const AdmissionResult admission = acquireSlot(service.limiter, connection);
    if (admission != AdmissionResult::Admitted)
        return answerError(response, 503, "cold");
    runRequest(service, idempotencyKey);
    releaseSlot(service.limiter);
    if (consumeFault(service.controls, "crash_after_run"))
        std::_Exit(1);
    if (consumeFault(service.controls, "drop_reply"))
        ::shutdown(connection, SHUT_RDWR);
    answerEcho(request, response, idempotencyKey);
}

} // namespace

void runPlain()
{
    static PlainService service;
    service.controls.counts = { { "started", 0 }, { "over_cold_limit", 0 }, { "running", 0 } };
    service.controls.switches = { { "work_ms", FLAGS_work_ms }, { "slots", FLAGS_slots }, { "cold_slots", FLAGS_cold_slots } };
    Server server(service.controls);
    const auto handler = makeHandler(service, handleRequest);
    server.Get(".*", handler).Post(".*", handler).Put(".*", handler);
    server.Patch(".*", handler).Delete(".*", handler).Options(".*", handler);
    server.serve(FLAGS_listen, "listening");
}

} // namespace bilberry::standin
