/// Main program of bilberrybench: runs the routing, admission, retry and placement code on fixed seeds. It prints the
/// times and one signature over the counts of decisions, which changes only when a decision changes.

#include "Admission.h"
#include "FairQueue.h"
#include "Placement.h"
#include "Retry.h"
#include "Routing.h"

#include <cinttypes>
#include <cstdio>
#include <deque>

using namespace bilberry;

namespace {

constexpr uint32_t endpointCount = 600;
constexpr uint32_t dataCentreCount = 4;
constexpr uint32_t modelCount = 6;
constexpr uint32_t callerCount = 10;
constexpr int routingDecisions = 1'000'000;
constexpr int admissionDecisions = 1'000'000;
constexpr int retryDecisions = 1'000'000;
constexpr int placementRounds = 20;

// SplitMix64 generator with a fixed seed, so that every machine makes the same decisions.
struct RandomGenerator {
    uint64_t state = 20261203;
    uint64_t next()
    {
        this->state += 0x9e3779b97f4a7c15;
        uint64_t mixed = this->state;
        mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
        return mixed ^ (mixed >> 31);
    }
    uint32_t nextBelow(uint32_t bound) { return static_cast<uint32_t>(this->next() % bound); }
};

/// FNV-1a hash over the counts of decisions.
struct DecisionDigest {
    uint64_t value = 0xcbf29ce484222325;
    void add(uint64_t count)
    {
        for (int byte = 0; byte < 8; ++byte) {
            this->value ^= (count >> (8 * byte)) & 0xff;
            this->value *= 0x100000001b3;
        }
    }
};

// Start time of the simulated clock, which replaces the real one.
const TimePoint startTime = TimePoint() + std::chrono::hours(1);

void printRate(const char* name, int decisions, Duration time)
{
    double seconds = std::chrono::duration<double>(time).count();
    std::printf("%s: %d decisions, %.0f a second, %.0f ns each\n", name, decisions, decisions / seconds, seconds / decisions * 1e9);
}

std::shared_ptr<Configuration> makeBenchConfiguration()
{
    auto configuration = std::make_shared<Configuration>();
    auto& inventory = configuration->inventory;
    for (uint32_t i = 0; i < dataCentreCount; ++i)
        inventory.dataCentres.push_back({ "dc-" + std::to_string(i), "region-" + std::to_string(i / 2) });
    inventory.services = { { "drafting", ServiceKind::Model, {} }, { "register", ServiceKind::Plain, "/register" } };
    for (uint32_t i = 0; i < modelCount; ++i) {
        inventory.models.push_back({ "model-" + std::to_string(i), "stable", 0, uint64_t(1) << 30 });
        configuration->rules.placements.push_back({ i, 40 + 10 * i, true });
    }
    for (uint32_t i = 0; i < endpointCount; ++i) {
        Vm vm;
        vm.name = "vm-" + std::to_string(i);
        vm.dataCentre = i % dataCentreCount;
        vm.service = i % 8 == 7 ? 1 : 0;
        vm.weightMemoryBytes = uint64_t(3) << 30;
        inventory.vms.push_back(vm);
    }
    configuration->rules.services = { { 0 }, { 1 } };
    return configuration;
}

std::vector<FleetRow> makeReports(const Configuration& configuration, RandomGenerator& random)
{
    std::vector<FleetRow> reports;
    for (const auto& vm : configuration.inventory.vms) {
        FleetRow row;
        row.status.vm = vm.name;
        row.status.admissionLimit = 4 + random.nextBelow(12);
        row.status.requestsInProgress = random.nextBelow(row.status.admissionLimit + 2);
        row.reportedAt = startTime - Milliseconds(random.nextBelow(2000));
        row.status.servedModels.push_back({ "model-" + std::to_string(random.nextBelow(modelCount)), "sha256:1" });
        reports.push_back(row);
    }
    return reports;
}

// Measures endpoint choice while requests start and end, and while random refusals put some endpoints into avoidance.
Duration benchRouting(const std::shared_ptr<Configuration>& configuration, DecisionDigest& digest)
{
    RandomGenerator random;
    auto table = makeRoutingTable(configuration, nullptr, makeReports(*configuration, random), 0, startTime);
    std::vector<EndpointObservation> observations(endpointCount);
    std::vector<uint64_t> chosenBy(endpointCount);
    std::deque<RowIndex> running;
    uint64_t unrouted = 0;
    auto begin = Clock::now();
    for (int i = 0; i < routingDecisions; ++i) {
        auto now = startTime + std::chrono::microseconds(i);
        RoutingTarget target { 0, random.nextBelow(modelCount), random.nextBelow(2) == 0 ? 0 : random.nextBelow(1000) };
        RowIndex vm = chooseEndpoint(table, target, observations, {}, random.next(), now).vm;
        if (vm == noRow) {
            ++unrouted;
            continue;
        }
        ++chosenBy[vm];
        ++observations[vm].inProgress;
        running.push_back(vm);
        if (random.nextBelow(20'000) == 0)
            observations[vm].avoidUntil = now + avoidanceDuration(RefusalReason::VersionNotReady);
        if (running.size() > 2000) {
            --observations[running.front()].inProgress;
            running.pop_front();
        }
    }
    auto time = Clock::now() - begin;
    for (uint64_t count : chosenBy)
        digest.add(count);
    digest.add(unrouted);
    return time;
}

// Measures admission and fair queueing. One client account sends four of five requests, and failures, refusals and late
// answers move the admission limit.
Duration benchAdmission(DecisionDigest& digest)
{
    RandomGenerator random;
    auto state = makeAdmissionState({ 2, 16 });
    FairQueue queue;
    std::deque<bool> running;
    uint64_t queued = 0;
    uint64_t refused = 0;
    std::vector<uint64_t> served(callerCount);
    auto begin = Clock::now();
    for (int i = 0; i < admissionDecisions; ++i) {
        auto now = startTime + std::chrono::microseconds(100) * i;
        RowIndex caller = random.nextBelow(5) < 4 ? 0 : random.nextBelow(callerCount);
        auto offer = enqueueRequest(queue, { static_cast<uint64_t>(i), caller, Priority::Normal, now }, 1, 32);
        ++(offer.isQueued ? queued : refused);
        for (auto ticket = tryAdmit(state); ticket.isAdmitted; ticket = tryAdmit(state)) {
            auto next = dequeueRequest(queue);
            running.push_back(ticket.wasAtLimit);
            if (!next)
                break;
            ++served[next->accountRow];
        }
        if (random.nextBelow(4) != 0 && !running.empty()) {
            CompletionReport report { random.nextBelow(500) == 0, random.nextBelow(5000) == 0, running.front(), Milliseconds(5 + random.nextBelow(20)), Milliseconds(40) };
            running.pop_front();
            completeRequest(state, report, now);
        }
        if (i % 1000 == 0)
            updateColdState(state, false, now);
    }
    auto time = Clock::now() - begin;
    digest.add(queued);
    digest.add(refused);
    for (uint64_t count : served)
        digest.add(count);
    digest.add(static_cast<uint64_t>(state.limit));
    return time;
}

Duration benchRetry(DecisionDigest& digest)
{
    RandomGenerator random;
    RetryBudgets budgets;
    uint64_t counts[3] = {};
    uint64_t granted = 0;
    auto begin = Clock::now();
    for (int i = 0; i < retryDecisions; ++i) {
        creditRetryBudgets(budgets, 0.1);
        auto reason = static_cast<RefusalReason>(1 + random.nextBelow(static_cast<uint32_t>(RefusalReason::ReplyLost)));
        AttemptReport report { makeRefusal(reason), random.nextBelow(2) == 0, random.nextBelow(20) == 0, { 1 + static_cast<int>(random.nextBelow(4)), static_cast<int>(random.nextBelow(4)) }, Milliseconds(random.nextBelow(100)) };
        auto decision = decideRetry(report);
        ++counts[static_cast<size_t>(decision)];
        if (decision == RetryDecision::RetryAfterBackoff && chargeRetryBudget(budgets, report.refusal))
            granted += static_cast<uint64_t>(computeRetryBackoff(report.counts.attempts, random.next()).count());
    }
    auto time = Clock::now() - begin;
    for (uint64_t count : counts)
        digest.add(count);
    digest.add(granted);
    return time;
}

Duration benchPlacement(const std::shared_ptr<Configuration>& configuration, DecisionDigest& digest)
{
    auto begin = Clock::now();
    for (int i = 0; i < placementRounds; ++i) {
        configuration->inventory.vms.back().name = "vm-last-" + std::to_string(i);
        auto placement = placeModels(*configuration, nullptr, WallTime());
        digest.add(placement.rows.size());
        for (const auto& row : placement.rows)
            digest.add(row.vm * modelCount + row.model);
    }
    return Clock::now() - begin;
}

} // namespace

int main()
{
    DecisionDigest digest;
    auto configuration = makeBenchConfiguration();
    printRate("routing, 600 endpoints", routingDecisions, benchRouting(configuration, digest));
    printRate("admission", admissionDecisions, benchAdmission(digest));
    printRate("retry", retryDecisions, benchRetry(digest));
    printRate("placement, 600 endpoints", placementRounds, benchPlacement(configuration, digest));
    std::printf("signature %" PRIu64 "\n", digest.value);
    return 0;
}
