#include "CrashGuard.h"

#include "HttpClient.h"
#include "Log.h"
#include "Node.h"
#include "PeerCall.h"
#include "Refusal.h"
#include "RefusalResponse.h"
#include "WireHeaders.h"

#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

static constexpr Milliseconds probeTimeout { 200 };
// One more than the connections that are kept open to an address, so that at least one probe uses a new connection.
static constexpr int maxProbes = 9;
static constexpr size_t maxProbeBytes = 64 << 10;
// Maximum time for a report to one process, and for all reports.
static constexpr Milliseconds peerReportTimeout { 300 };
static constexpr Milliseconds totalReportTimeout { 1500 };

std::string handleCrashReport(Quarantine& quarantine, Node& node, const std::string& parameters)
{
    auto message = json::parse(parameters, nullptr, false);
    auto found = message.is_object() ? message.find("fingerprint") : message.end();
    bool isReadable = message.is_object() && found != message.end() && found->is_number_unsigned() && message.contains("vm") && message["vm"].is_string();
    if (!isReadable) {
        node.metrics.addToCounter("bilberry_messages_refused_total", { { "method", "crash" } });
        return {};
    }
    quarantine.recordCrash(found->get<uint64_t>(), message["vm"].get<std::string>(), Clock::now());
    node.metrics.setGauge("bilberry_crash_fingerprints", static_cast<double>(quarantine.size()));
    return "{}";
}

CrashGuard::CrashGuard(Node& node)
    : node(node)
{
}

// A back end that is only slow, or that closed one connection, still accepts others. The first probes may use kept
// connections that the back end has closed, so a lost probe proves nothing and is repeated.
bool CrashGuard::isBackEndDown(const std::string& address)
{
    HttpRequest probe;
    probe.method = "GET";
    probe.path = "/";
    probe.headers.emplace_back("Connection", "close");
    for (int probeCount = 0; probeCount < maxProbes; ++probeCount) {
        auto reply = this->node.clients.sendRequest(address, probe, { probeTimeout, probeTimeout }, maxProbeBytes);
        if (reply.failure != CallFailure::Lost)
            return reply.failure == CallFailure::NotSent;
    }
    return false;
}

void CrashGuard::reportBackEndCrash(uint64_t fingerprint, const Configuration& configuration, RowIndex ownVm)
{
    const auto& vms = configuration.inventory.vms;
    this->quarantine.recordCrash(fingerprint, vms[ownVm].name, Clock::now());
    this->node.metrics.addToCounter("bilberry_back_end_crashes_total");
    logEvent(LogLevel::Warning, "back_end_crashed", "fingerprint={}", fingerprint);
    std::string message = json { { "fingerprint", fingerprint }, { "vm", vms[ownVm].name } }.dump();
    auto reportDeadline = Clock::now() + totalReportTimeout;
    for (auto role : { Role::Entry, Role::Endpoint }) {
        for (RowIndex vm = 0; vm < vms.size() && Clock::now() < reportDeadline; ++vm) {
            bool shouldNotify = vm != ownVm && vms[vm].role == role && (role == Role::Entry || vms[vm].service == vms[ownVm].service);
            if (shouldNotify)
                callPeer(this->node, vms[vm].address, "crash", message, peerReportTimeout);
        }
    }
}

HttpResponse CrashGuard::runRequest(const HttpRequest& request, const ConfigurationPointer& configuration, RowIndex ownVm, const BackEndRunner& runner)
{
    std::string path = request.path.substr(sizeof(wire::forwardPrefix) - 1);
    uint64_t fingerprint = computeRequestFingerprint(request.method, path, request.body);
    auto decision = this->quarantine.checkFingerprint(fingerprint, Clock::now());
    if (decision == QuarantineDecision::Refuse)
        return makeRefusalResponse(this->node, request, RefusalReason::CrashedEndpoints);
    bool isSuspect = decision == QuarantineDecision::RunAsOnlySuspect;
    if (isSuspect && this->isSuspectRunning.exchange(true))
        return makeRefusalResponse(this->node, request, RefusalReason::Overloaded);
    HttpResponse response = runner();
    std::string backEnd = configuration->inventory.vms[ownVm].backEndAddress;
    if (findHeader(response.headers, wire::reason) == toText(RefusalReason::ReplyLost) && this->isBackEndDown(backEnd))
        this->reportBackEndCrash(fingerprint, *configuration, ownVm);
    if (!response.stream) {
        if (isSuspect)
            this->isSuspectRunning = false;
        return response;
    }
    response.stream = [this, configuration, ownVm, fingerprint, backEnd, next = std::move(response.stream)](std::string& piece) {
        auto step = next(piece);
        if (step == BodyReadResult::Truncated && this->isBackEndDown(backEnd))
            this->reportBackEndCrash(fingerprint, *configuration, ownVm);
        if (step == BodyReadResult::End)
            this->quarantine.clearSuspicion(fingerprint);
        return step;
    };
    response.onFinished = [this, isSuspect, next = std::move(response.onFinished)] {
        if (isSuspect)
            this->isSuspectRunning = false;
        if (next)
            next();
    };
    return response;
}

} // namespace bilberry
