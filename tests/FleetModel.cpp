#include "FleetModel.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

static const TimePoint start { std::chrono::hours(1) };
static const NodeLocation location { "dc-a", { { "dc-a", "north" } } };
static constexpr double targetLatency = 400;
static constexpr double tickInterval = 20;
static constexpr uint32_t slotsPerEngine = 12;

static TimePoint timeAt(double milliseconds)
{
    return start + std::chrono::duration_cast<Duration>(FractionalMilliseconds(milliseconds));
}

static EnginePerformance enginePerformance()
{
    EnginePerformance engine;
    engine.slots = slotsPerEngine;
    engine.tokensPerEvent = 7;
    engine.stepTime = FractionalMilliseconds(6.73);
    engine.stepTimePerRequest = FractionalMilliseconds(0.0219);
    engine.prefillTokensPerSecond = 30'600;
    return engine;
}

static RouteRule streamRoute()
{
    RouteRule route;
    route.kind = RequestKind::Stream;
    route.targetLatency = Milliseconds(static_cast<int>(targetLatency));
    route.timeout = Milliseconds(6000);
    return route;
}

static EndpointRecord engineRecord(size_t engine)
{
    EndpointRecord record;
    record.id = "engine-" + std::to_string(engine);
    record.service = "writer";
    record.dataCentre = location.dataCentre;
    record.slots = slotsPerEngine;
    record.isModelEngine = true;
    record.models = { { "m", 1 } };
    return record;
}

FleetModel::FleetModel(const FleetModelSettings& settings)
    : isLost(settings.entryCount)
    , isPaused(settings.entryCount)
    , isCut(settings.entryCount, std::vector<char>(settings.entryCount))
    , settings(settings)
    , random(settings.seed)
    , entries(settings.entryCount)
    , engines(settings.engineCount)
    , present(settings.engineCount)
{
    for (auto& engine : this->engines)
        engine.performance = enginePerformance();
    for (size_t i = 0; i < this->entries.size(); ++i) {
        auto& entry = this->entries[i];
        entry.ip = "10.0.0." + std::to_string(i + 1);
        entry.peers.ownIp = entry.ip;
        entry.peers.ownDataCentre = location.dataCentre;
        entry.nextReportAt = std::uniform_real_distribution<double>(0, settings.reportInterval)(this->random);
        for (size_t engine = 0; engine < this->engines.size(); ++engine)
            entry.table.upsert(engineRecord(engine), start - Seconds(2));
    }
}

uint32_t FleetModel::requestsAt(size_t engine) const
{
    return this->present[engine];
}

// As an entry does with each message and some times a second.
void FleetModel::updatePeerLoads(ModelledEntry& entry, TimePoint now)
{
    auto heard = peersInDataCentre(entry.peers, location.dataCentre, entry.peers.rows.size(), now);
    updateEngineShares(entry.basis, entry.table, entry.ip, location.dataCentre, heard, silentPeersInDataCentre(entry.peers, location.dataCentre, now), now);
    if (heard.empty())
        noteLoadsTold(entry.table);
    auto loads = peersInFlight(entry.peers, now);
    for (auto& row : entry.table.rows) {
        auto found = loads.find(endpointHash(row.record.id));
        row.peersInFlight = found == loads.end() ? 0 : found->second;
        noteRoom(row.share, concurrencyLimit(row.record), estimatedLoad(row, now), now);
    }
}

void FleetModel::deliverMessages(double now)
{
    auto isDue = [&](const Datagram& datagram) { return datagram.dueAt <= now && !this->isPaused[datagram.receiver]; };
    for (const auto& datagram : this->datagrams) {
        if (!isDue(datagram) || this->isLost[datagram.receiver])
            continue;
        auto& receiver = this->entries[datagram.receiver];
        if (receiver.peers.applyMessage(datagram.sender, datagram.message, timeAt(now)))
            this->updatePeerLoads(receiver, timeAt(now));
    }
    this->datagrams.erase(std::remove_if(this->datagrams.begin(), this->datagrams.end(), isDue), this->datagrams.end());
}

void FleetModel::sendReports(double now)
{
    std::uniform_real_distribution<double> share(0, 1);
    for (size_t i = 0; i < this->entries.size(); ++i) {
        auto& entry = this->entries[i];
        if (this->isLost[i] || this->isPaused[i] || now < entry.nextReportAt)
            continue;
        entry.nextReportAt = now + this->settings.reportInterval;
        PeerMessage message;
        message.incarnation = 1;
        message.sequence = ++entry.sequence;
        message.dataCentre = location.dataCentre;
        for (const auto& row : entry.table.rows) {
            if (row.inFlight > 0)
                message.loads.push_back({ endpointHash(row.record.id), row.inFlight });
        }
        noteLoadsTold(entry.table);
        for (size_t receiver = 0; receiver < this->entries.size(); ++receiver) {
            bool isDropped = receiver == i || this->isCut[i][receiver] || share(this->random) < this->settings.lostShare;
            if (!isDropped)
                this->datagrams.push_back({ now + share(this->random) * this->settings.longestDelay, receiver, entry.ip, message });
        }
    }
}

void FleetModel::finishRequests(double now)
{
    for (size_t i = 0; i < this->engines.size(); ++i) {
        this->engines[i].advanceTo(now);
        this->slotTime += std::min(this->present[i], slotsPerEngine);
    }
    for (auto& request : this->requests) {
        bool hasEnded = request.engine != noEndpoint && request.atEngine.endedAt >= 0 && request.atEngine.endedAt <= now;
        if (!hasEnded)
            continue;
        this->present[request.engine] -= request.isPresent ? 1 : 0;
        request.isPresent = false;
        // A paused entry sees the end once it goes on.
        if (this->isPaused[request.entry])
            continue;
        --this->entries[request.entry].table.rows[request.engine].inFlight;
        request.engine = noEndpoint;
        if (!this->isLost[request.entry])
            this->dispatchWaiting(request.entry, now);
    }
}

void FleetModel::noteFirstEvents(double now)
{
    auto isSeen = [&](CallersRequest* request) {
        if (request->atEngine.firstEventAt < 0 || request->atEngine.firstEventAt > now)
            return false;
        if (this->isPaused[request->entry])
            return false;
        ++this->result.firstEventCount;
        if (request->engine == noEndpoint)
            return true;
        this->result.statedOverLimitCount += this->requestsAt(request->engine) > slotsPerEngine ? 1 : 0;
        auto running = std::min(this->requestsAt(request->engine), slotsPerEngine);
        LoadReport load { running, this->requestsAt(request->engine) - running, slotsPerEngine };
        if (this->settings.statesLoad)
            noteLoadReport(this->entries[request->entry].table.rows[request->engine], load, timeAt(now));
        return true;
    };
    this->withoutFirstEvent.erase(std::remove_if(this->withoutFirstEvent.begin(), this->withoutFirstEvent.end(), isSeen), this->withoutFirstEvent.end());
}

bool FleetModel::tryDispatch(size_t index, CallersRequest& request, double now)
{
    auto& entry = this->entries[index];
    EndpointRequirements requirements;
    requirements.service = "writer";
    requirements.model = "m";
    requirements.entryCount = this->settings.entryCount;
    requirements.nearEntryCount = this->settings.entryCount;
    requirements.entryHash = std::hash<std::string>()(entry.ip);
    requirements.sharesEngines = this->settings.sharesEngines;
    auto choice = chooseEndpoint(entry.table, requirements, location, {}, this->random(), timeAt(now));
    if (choice.row == noEndpoint)
        return false;
    ++entry.table.rows[choice.row].inFlight;
    recordDispatch(entry.queue, timeAt(now));
    request.engine = choice.row;
    request.atEngine.sentAt = now;
    this->engines[choice.row].addRequest(request.atEngine);
    request.isPresent = true;
    ++this->present[choice.row];
    this->withoutFirstEvent.push_back(&request);
    ++this->result.sentCount;
    auto count = this->requestsAt(choice.row);
    this->result.overLimitCount += count > slotsPerEngine ? 1 : 0;
    this->result.mostAtEngine = std::max(this->result.mostAtEngine, count);
    return true;
}

void FleetModel::dispatchWaiting(size_t index, double now)
{
    auto& queue = this->entries[index].queue;
    while (!queue.waiting.empty()) {
        auto first = queue.waiting.front();
        if (!this->tryDispatch(index, this->requests[first.requestNumber], now))
            return;
        removeWaitingRequest(queue, first.requestNumber);
    }
}

// As ProxiedRequest::dispatchOrEnqueue() does.
void FleetModel::enqueueOrRefuse(size_t index, CallersRequest& request, double now)
{
    auto& queue = this->entries[index].queue;
    auto performance = enginePerformance();
    auto allowance = maxQueueWait(streamRoute(), &performance, request.atEngine.promptTokens, Milliseconds(static_cast<int>(targetLatency)));
    auto wait = expectedQueueWait(queue, {}, timeAt(now));
    request.isRefused = countAhead(queue, {}) > 0 && wait != Milliseconds::max() && wait > allowance;
    if (!request.isRefused)
        enqueueRequest(queue, { this->requests.size() - 1, {}, timeAt(now), timeAt(now) + allowance });
}

void FleetModel::acceptRequest(size_t index, double now)
{
    std::exponential_distribution<double> size(1);
    auto& request = this->requests.emplace_back();
    request.entry = index;
    request.arrivedAt = now;
    request.atEngine.promptTokens = static_cast<uint32_t>(100 + 850 * size(this->random));
    request.atEngine.answerTokens = static_cast<uint32_t>(7 + 115 * size(this->random));
    auto& queue = this->entries[index].queue;
    if (this->isLost[index])
        request.isRefused = true;
    else if (this->isPaused[index] || countAhead(queue, {}) > 0 || !this->tryDispatch(index, request, now))
        this->enqueueOrRefuse(index, request, now);
}

void FleetModel::acceptRequests(double now)
{
    auto demand = this->settings.demand.empty() ? std::vector<double>(this->entries.size(), 1) : this->settings.demand;
    std::discrete_distribution<size_t> entryOfRequest(demand.begin(), demand.end());
    std::exponential_distribution<double> gap(this->settings.requestsPerSecond / 1000);
    for (; this->nextArrivalAt <= now; this->nextArrivalAt += gap(this->random))
        this->acceptRequest(entryOfRequest(this->random), now);
    bool isBurst = this->settings.burstEvery > 0 && std::fmod(now, this->settings.burstEvery) == 0;
    for (uint32_t i = 0; isBurst && i < this->settings.burstRequests; ++i) {
        for (size_t entry = 0; entry < this->entries.size(); ++entry)
            this->acceptRequest(entry, now);
    }
}

FleetModelResult FleetModel::run(const std::function<void(FleetModel&, double now)>& onStep)
{
    for (double now = 0; now < this->settings.duration; now += 1) {
        if (onStep)
            onStep(*this, now);
        this->deliverMessages(now);
        this->finishRequests(now);
        this->noteFirstEvents(now);
        this->acceptRequests(now);
        for (size_t i = 0; i < this->entries.size(); ++i) {
            if (this->isLost[i] || this->isPaused[i])
                continue;
            for (const auto& expired : takeExpiredRequests(this->entries[i].queue, timeAt(now)))
                this->requests[expired.requestNumber].isRefused = true;
            if (std::fmod(now, tickInterval) == 0) {
                this->updatePeerLoads(this->entries[i], timeAt(now));
                this->dispatchWaiting(i, now);
            }
        }
        this->sendReports(now);
    }
    return this->summarize();
}

FleetModelResult FleetModel::summarize() const
{
    auto summary = this->result;
    for (const auto& request : this->requests) {
        // Requests of the last second aren't counted, because they may not have started yet.
        if (request.arrivedAt > this->settings.duration - 1000)
            continue;
        ++summary.requestCount;
        bool hasBegun = request.atEngine.firstEventAt >= 0;
        bool isOnTime = hasBegun && request.atEngine.firstEventAt - request.arrivedAt <= targetLatency;
        summary.onTimeCount += isOnTime ? 1 : 0;
        summary.lateCount += hasBegun && !isOnTime ? 1 : 0;
        summary.refusedCount += request.isRefused ? 1 : 0;
    }
    summary.usedShare = this->slotTime / (this->settings.duration * static_cast<double>(this->engines.size()) * slotsPerEngine);
    return summary;
}

} // namespace bilberry
