#include "Endpoint.h"

#include "Gossip.h"
#include "HttpClient.h"
#include "Node.h"
#include "Refusal.h"
#include "RefusalResponse.h"
#include "SimpleRequestPolicy.h"
#include "WireHeaders.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <memory>

namespace bilberry {

static constexpr Milliseconds defaultDeadline { 30'000 };
static constexpr int statusUnavailable = 503;
// Interval at which a request that waits for the back end checks whether its sender has disconnected.
static constexpr Milliseconds senderCheckInterval { 100 };

Endpoint::Endpoint(Node& node)
    : node(node)
    , weightAgent(node)
    , crashGuard(node)
{
    this->weightAgent.setLiveRequestCounter([this] { return this->admissionController.load().inProgress; });
}

void Endpoint::start()
{
    this->weightAgent.start();
}

void Endpoint::stop()
{
    this->weightAgent.stop();
}

uint32_t Endpoint::inProgress() const
{
    auto load = this->admissionController.load();
    return load.inProgress + load.queued;
}

void Endpoint::tick(TimePoint now)
{
    auto configuration = this->node.publishedState.configuration();
    RowIndex own = configuration ? findOwnVm(this->node, *configuration) : noRow;
    if (own == noRow)
        return;
    const Vm& vm = configuration->inventory.vms[own];
    bool isModel = configuration->inventory.services[vm.service].kind == ServiceKind::Model;
    VmStatus status;
    this->weightAgent.fillStatus(status);
    AdmissionBounds bounds { vm.coldStartConcurrency, vm.maxConcurrency };
    this->admissionController.setBounds(usesSimplePolicy() ? AdmissionBounds { simplePolicyAdmissionLimit, simplePolicyAdmissionLimit } : bounds);
    this->admissionController.setBackEndCold(isModel && status.isCold);
    auto load = this->admissionController.load();
    status.requestsInProgress = load.inProgress + load.queued;
    status.admissionLimit = load.limit;
    status.isLeaving = this->node.isLeaving || isVmLeaving(*configuration, own);
    publishOwnStatus(this->node, status);
    this->node.metrics.setGauge("bilberry_requests_in_progress", load.inProgress);
    this->node.metrics.setGauge("bilberry_requests_queued", load.queued);
    this->node.metrics.setGauge("bilberry_admission_limit", status.admissionLimit);
}

std::string Endpoint::describeLoad() const
{
    auto load = this->admissionController.load();
    return fmt::format("{}/{}", load.inProgress + load.queued, load.limit);
}

HttpResponse Endpoint::refuse(const HttpRequest& request, RefusalReason reason)
{
    HttpResponse response = makeRefusalResponse(this->node, request, reason);
    response.headers.emplace_back(wire::load, this->describeLoad());
    return response;
}

// Makes the checks that don't depend on the load. Returns RefusalReason::None when the request may go on to admission.
RefusalReason Endpoint::checkState(const HttpRequest& request, const Configuration& configuration, RowIndex own) const
{
    const Vm& vm = configuration.inventory.vms[own];
    if (this->node.isLeaving || isVmLeaving(configuration, own))
        return RefusalReason::Leaving;
    if (isDataCentreOutOfService(configuration, vm.dataCentre))
        return RefusalReason::DataCentreOut;
    if (!mayAcceptWork(this->node))
        return RefusalReason::NoConfiguration;
    if (configuration.inventory.services[vm.service].name != findHeader(request.headers, wire::service))
        return RefusalReason::UnknownService;
    std::string model = findHeader(request.headers, wire::model);
    if (!model.empty() && !this->weightAgent.servedDigest(model))
        return RefusalReason::VersionNotReady;
    return RefusalReason::None;
}

HttpResponse Endpoint::handleForwardedRequest(const HttpRequest& request)
{
    auto configuration = this->node.publishedState.configuration();
    RowIndex own = configuration ? findOwnVm(this->node, *configuration) : noRow;
    if (own == noRow)
        return this->refuse(request, RefusalReason::NoConfiguration);
    auto run = [&] {
        auto reason = this->checkState(request, *configuration, own);
        if (reason != RefusalReason::None)
            return this->refuse(request, reason);
        return this->runAtBackEnd(request, configuration->inventory.vms[own], *configuration);
    };
    return this->crashGuard.runRequest(request, configuration, own, run);
}

static HttpRequest makeBackEndRequest(const HttpRequest& request)
{
    HttpRequest forwarded = request;
    forwarded.path = request.path.substr(sizeof(wire::forwardPrefix) - 1);
    forwarded.headers = withoutHopByHopHeaders(request.headers);
    return forwarded;
}

static TimePoint readDeadline(const HttpRequest& request)
{
    int64_t timeLeft = 0;
    bool isNumber = absl::SimpleAtoi(findHeader(request.headers, wire::deadlineMs), &timeLeft);
    return Clock::now() + (isNumber ? Milliseconds(timeLeft) : defaultDeadline);
}

// Builds the request for admission. A client account that this process does not know yet gets the smallest share.
static AdmissionRequest makeAdmissionRequest(const HttpRequest& request, const Configuration& configuration, RowIndex service)
{
    AdmissionRequest admission;
    const auto& callers = configuration.inventory.callers;
    RowIndex caller = findRow(callers, findHeader(request.headers, wire::caller));
    admission.caller = caller == noRow ? static_cast<RowIndex>(callers.size()) : caller;
    admission.share = caller == noRow ? 1 : std::max(1U, callers[caller].fairShareWeight);
    admission.priority = configuration.rules.services[service].priority;
    admission.deadline = readDeadline(request);
    int64_t maxWait = 0;
    if (absl::SimpleAtoi(findHeader(request.headers, wire::queueWaitMs), &maxWait) && maxWait >= 0)
        admission.maxWait = Milliseconds(std::min<int64_t>(maxWait, maxRequestedQueueWait.count()));
    return admission;
}

/// A request that runs at the back end, and the report that is made to the admission controller when it ends.
struct BackEndRun {
    std::shared_ptr<HttpExchange> exchange;
    TimePoint startedAt {};
    CompletionReport report;
};

static BodyReadResult readNextPiece(BackEndRun& run, std::string& piece)
{
    auto step = run.exchange->readBodyChunk(piece);
    if (step == BodyReadResult::Truncated)
        run.report.isFailure = true;
    if (step == BodyReadResult::End)
        run.report.serviceTime = Clock::now() - run.startedAt;
    return step;
}

// Relays the back end's response. The request counts as in progress until the last byte of the response.
HttpResponse Endpoint::relayResponse(const HttpRequest& request, const HttpReply& head, const std::shared_ptr<BackEndRun>& run)
{
    HttpResponse response;
    response.status = head.status;
    response.headers = withoutHopByHopHeaders(head.headers);
    response.headers.emplace_back(wire::outcome, std::string(toText(Outcome::Ran)));
    response.headers.emplace_back(wire::attempt, findHeader(request.headers, wire::attempt));
    response.headers.emplace_back(wire::load, this->describeLoad());
    response.stream = [run](std::string& piece) { return readNextPiece(*run, piece); };
    response.onFinished = [this, run] { this->admissionController.finishRequest(run->report); };
    this->node.metrics.addToCounter("bilberry_endpoint_requests_total");
    return response;
}

HttpResponse Endpoint::runAtBackEnd(const HttpRequest& request, const Vm& vm, const Configuration& configuration)
{
    auto admission = makeAdmissionRequest(request, configuration, vm.service);
    auto decision = this->admissionController.admitRequest(admission);
    if (decision.reason != RefusalReason::None)
        return this->refuse(request, decision.reason);
    auto run = std::make_shared<BackEndRun>();
    run->startedAt = Clock::now();
    run->report.wasAtLimit = decision.wasAtLimit;
    auto timeLeft = std::max(Milliseconds(1), std::chrono::duration_cast<Milliseconds>(admission.deadline - run->startedAt));
    HttpTimeouts timeouts { this->node.settings.connectTimeout, timeLeft };
    run->exchange = std::make_shared<HttpExchange>(this->node.clients, vm.backEndAddress, makeBackEndRequest(request), timeouts);
    while (!run->exchange->waitForProgress(senderCheckInterval)) {
        if (request.isSenderGone && request.isSenderGone())
            run->exchange->cancel();
    }
    const HttpReply& head = run->exchange->waitForHead();
    run->report.timeToFirstByte = Clock::now() - run->startedAt;
    if (head.status == 0) {
        bool wasSent = head.failure != CallFailure::NotSent;
        run->report = { head.failure != CallFailure::Cancelled, false, decision.wasAtLimit };
        this->admissionController.finishRequest(run->report);
        return this->refuse(request, wasSent ? RefusalReason::ReplyLost : RefusalReason::ConnectFailed);
    }
    bool isModel = configuration.inventory.services[vm.service].kind == ServiceKind::Model;
    run->report.isFailure = head.status == statusUnavailable;
    if (isModel && head.status == statusUnavailable) {
        // The engine interface guarantees that a request answered with status 503 was not run, so the entry may retry it.
        // The same status of a plain service gives no such guarantee and is relayed to the caller.
        run->report = { false, true, decision.wasAtLimit };
        this->admissionController.finishRequest(run->report);
        this->node.metrics.addToCounter("bilberry_engine_refusals_total");
        return this->refuse(request, RefusalReason::Overloaded);
    }
    return this->relayResponse(request, head, run);
}

} // namespace bilberry
