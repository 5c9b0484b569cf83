#include "Endpoint.h"

#include "Gossip.h"
#include "HttpClient.h"
#include "Node.h"
#include "Refusal.h"
#include "WireHeaders.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <memory>

namespace bilberry {

static constexpr Milliseconds defaultDeadline { 30'000 };

Endpoint::Endpoint(Node& node)
    : node(node)
    , weights(node)
    , keyed(node)
    , admission(makeAdmission({}))
{
}

void Endpoint::start()
{
    this->weights.start();
    this->keyed.start();
}

void Endpoint::stop()
{
    this->keyed.stop();
    this->weights.stop();
}

uint32_t Endpoint::inProgress() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->admission.inProgress;
}

void Endpoint::tick(TimePoint now)
{
    auto configuration = this->node.published.configuration();
    RowIndex own = configuration ? findOwnVm(this->node, *configuration) : noRow;
    if (own == noRow)
        return;
    const Vm& vm = configuration->inventory.vms[own];
    bool isModel = configuration->inventory.services[vm.service].kind == ServiceKind::Model;
    VmStatus status;
    this->weights.fillStatus(status);
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->hasBounds) {
            this->admission = makeAdmission({ vm.coldConcurrency, vm.maxConcurrency });
            this->hasBounds = true;
        }
        reportCold(this->admission, isModel && status.isCold);
        status.inProgress = this->admission.inProgress;
        status.limit = static_cast<uint32_t>(this->admission.limit);
    }
    status.isLeaving = this->node.isLeaving || isVmLeaving(*configuration, own);
    publishOwnStatus(this->node, status);
    this->keyed.tick(now);
    this->node.metrics.set("bilberry_requests_in_progress", status.inProgress);
    this->node.metrics.set("bilberry_admission_limit", status.limit);
}

HttpResponse Endpoint::refuse(const HttpRequest& request, RefusalReason reason)
{
    Refusal refusal = makeRefusal(reason);
    this->node.metrics.count("bilberry_endpoint_refusals_total", { { "reason", std::string(toText(reason)) } });
    HttpResponse response = jsonResponse(httpStatus(refusal), problemDetails(refusal));
    response.headers.emplace_back(wire::outcome, std::string(toText(refusal.outcome)));
    response.headers.emplace_back(wire::reason, std::string(toText(reason)));
    response.headers.emplace_back(wire::attempt, findHeader(request.headers, wire::attempt));
    return response;
}

// The checks that need no count. None when the request may go on to admission.
RefusalReason Endpoint::checkState(const HttpRequest& request, const Configuration& configuration, RowIndex own) const
{
    const Vm& vm = configuration.inventory.vms[own];
    if (this->node.isLeaving || isVmLeaving(configuration, own))
        return RefusalReason::Leaving;
    if (isDataCentreOut(configuration, vm.dataCentre))
        return RefusalReason::DataCentreOut;
    if (!mayAcceptWork(this->node))
        return RefusalReason::NoConfiguration;
    if (configuration.inventory.services[vm.service].name != findHeader(request.headers, wire::service))
        return RefusalReason::UnknownService;
    std::string model = findHeader(request.headers, wire::model);
    if (!model.empty() && !this->weights.servedDigest(model))
        return RefusalReason::VersionNotReady;
    return RefusalReason::None;
}

HttpResponse Endpoint::forward(const HttpRequest& request)
{
    auto configuration = this->node.published.configuration();
    RowIndex own = configuration ? findOwnVm(this->node, *configuration) : noRow;
    if (own == noRow)
        return this->refuse(request, RefusalReason::NoConfiguration);
    auto run = [&](const DispatchCheck& mayDispatch) {
        auto reason = this->checkState(request, *configuration, own);
        if (reason != RefusalReason::None)
            return this->refuse(request, reason);
        return this->runAtBackEnd(request, configuration->inventory.vms[own], mayDispatch);
    };
    bool hasKey = !findHeader(request.headers, wire::idempotencyKey).empty() && findHeader(request.headers, wire::unrepeatable) == "1";
    return hasKey ? this->keyed.handle(request, run) : run(nullptr);
}

RefusalReason Endpoint::admit()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return tryAdmit(this->admission) ? RefusalReason::None : RefusalReason::Overloaded;
}

void Endpoint::complete(bool isFailure, bool wasAtLimit)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    completeRequest(this->admission, { isFailure, wasAtLimit });
}

static HttpRequest toBackEnd(const HttpRequest& request)
{
    HttpRequest forwarded = request;
    forwarded.path = request.path.substr(sizeof(wire::forwardPrefix) - 1);
    forwarded.headers = withoutHopHeaders(request.headers);
    return forwarded;
}

static Milliseconds remainingTime(const HttpRequest& request)
{
    int64_t left = 0;
    bool isNumber = absl::SimpleAtoi(findHeader(request.headers, wire::deadlineMs), &left);
    return isNumber && left > 0 ? Milliseconds(left) : defaultDeadline;
}

HttpResponse Endpoint::runAtBackEnd(const HttpRequest& request, const Vm& vm, const DispatchCheck& mayDispatch)
{
    auto reason = this->admit();
    if (reason != RefusalReason::None)
        return this->refuse(request, reason);
    if (mayDispatch && !mayDispatch()) {
        this->complete(false, false);
        return this->refuse(request, RefusalReason::KeyFenced);
    }
    HttpTimeouts timeouts { this->node.settings.connectTimeout, remainingTime(request) };
    auto exchange = std::make_shared<HttpExchange>(this->node.clients, vm.backEnd, toBackEnd(request), timeouts);
    const HttpReply& head = exchange->waitForHead();
    if (head.status == 0) {
        bool wasSent = head.failure != CallFailure::NotSent;
        this->complete(true, true);
        return this->refuse(request, wasSent ? RefusalReason::ReplyLost : RefusalReason::ConnectFailed);
    }
    if (head.status == 503) {
        // A back end that refuses has not run the request.
        this->complete(true, true);
        return this->refuse(request, RefusalReason::Overloaded);
    }
    HttpResponse response;
    response.status = head.status;
    response.headers = withoutHopHeaders(head.headers);
    response.headers.emplace_back(wire::outcome, std::string(toText(Outcome::Ran)));
    response.headers.emplace_back(wire::attempt, findHeader(request.headers, wire::attempt));
    response.headers.emplace_back(wire::load, fmt::format("{}", this->inProgress()));
    response.stream = [exchange](std::string& piece) { return exchange->readPiece(piece); };
    response.onFinished = [this, exchange] { this->complete(false, true); };
    this->node.metrics.count("bilberry_endpoint_requests_total");
    return response;
}

} // namespace bilberry
