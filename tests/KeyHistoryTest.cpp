// Adversarial histories of leases, keys and fences: whatever is lost, late, doubled, paused or restarted, a key runs at
// most once, and what was said not to have run never runs.
#define BOOST_TEST_MODULE KeyHistory
#include "KeyHandOver.h"
#include "KeyTable.h"
#include "KeyVouch.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>
#include <set>

using namespace bilberry;

namespace {

constexpr uint32_t slot = 0;
constexpr uint64_t processCount = 5;
constexpr uint64_t recentKeys = 4;
constexpr Seconds preferenceTime { 12 };
// Clocks differ in rate by 3% either way and in wall time by half of the allowed skew either way.
constexpr double largestDrift = 0.03;

struct Step {
    uint64_t kind, a, b;
};

struct HandOver {
    TenureRecord tenure;
    std::vector<KeyRecord> rows;
};

struct Message {
    size_t from, to;
    LeaseRequest request;
    TimePoint sentAt; ///< By the holder's clock.
    uint64_t incarnation;
    bool isReply;
    LeaseReply reply;
    std::optional<HandOver> handOver;
};

struct Work {
    KeyedAttempt attempt;
    bool isDispatched;
};

struct Process {
    uint64_t incarnation = 1, sequence = 0;
    Generation generation = 1;
    LeaseHolder holder;
    LeaseVoter voter;
    std::unique_ptr<KeyTable> table;
    std::vector<Work> works;
    std::vector<KeyedAttempt> late; ///< Asked for before they arrived.
    std::vector<KeyedAttempt> checked; ///< Vouched for, not looked up in the table yet.
    std::map<uint64_t, WallTime> tenureStarts; ///< By number of the tenure, as it began here.
    std::optional<TenureRecord> ended; ///< Not sent to a successor yet.
    bool isCut = false;
};

struct World {
    std::vector<VoterSet> configurations; ///< By generation - 1.
    std::vector<Process> processes { processCount };
    std::vector<Message> network;
    Milliseconds time { 1'000'000 };
    std::map<std::string, WallTime> minted;
    std::map<std::string, int> runs;
    std::set<std::string> attemptsNotRun;
    uint64_t attempts = 0;
};

int totalRuns = 0;
int continuedTenures = 0;
int runsAfterHandOver = 0;

std::string nameOf(size_t process)
{
    return "p" + std::to_string(process);
}

TimePoint monotonic(const World& world, size_t process)
{
    double rate = 1 + largestDrift * (static_cast<double>(process) / 2 - 1);
    return TimePoint(std::chrono::duration_cast<Duration>(world.time * rate)) + Seconds(process);
}

WallTime wall(const World& world, size_t process)
{
    return WallTime(world.time) + maxClockSkew / 4 * (static_cast<int>(process) - 2);
}

void adopt(World& world, size_t index, Generation generation)
{
    world.processes[index].generation = generation;
    setVoters(world.processes[index].holder, world.configurations[generation - 1], generation, monotonic(world, index));
}

void restart(World& world, size_t index)
{
    Process fresh;
    fresh.incarnation = world.processes[index].incarnation + 1;
    fresh.isCut = world.processes[index].isCut;
    fresh.voter.startedAt = monotonic(world, index);
    fresh.voter.memory.incarnation = fresh.incarnation;
    fresh.table = std::make_unique<KeyTable>(KeyTableLimits { 12, 10, 10 });
    Generation generation = world.processes[index].generation;
    world.processes[index] = std::move(fresh);
    adopt(world, index, generation);
}

void ask(World& world, size_t index, bool isWanted)
{
    Process& process = world.processes[index];
    if (!isWanted)
        dropSlot(process.holder, slot, monotonic(world, index));
    LeaseRequest request { { nameOf(index), process.incarnation }, ++process.sequence, process.generation, "s", {} };
    if (isWanted)
        request.slots.push_back({ slot, process.holder.claims[slot] });
    for (const auto& voter : votersToAsk(process.holder))
        world.network.push_back({ index, voter.back() - size_t('0'), request, monotonic(world, index), process.incarnation, false, {}, std::nullopt });
}

// Delivers a message; a request leaves its reply in the network.
void deliver(World& world, Message message)
{
    Process& to = world.processes[message.to];
    if (world.processes[message.from].isCut != to.isCut)
        return;
    if (message.handOver) {
        if (to.table->importRows(slot, message.handOver->rows, monotonic(world, message.to)))
            noteHandOver(to.holder, message.handOver->tenure);
        continuedTenures += static_cast<int>(continueTenures(to.holder, monotonic(world, message.to)));
        return;
    }
    if (message.isReply) {
        if (to.incarnation == message.incarnation)
            takeReply(to.holder, nameOf(message.from), message.reply, message.sentAt, monotonic(world, message.to), wall(world, message.to));
        if (to.holder.tenures[slot])
            to.tenureStarts.emplace(to.holder.tenures[slot]->number, wall(world, message.to));
        continuedTenures += static_cast<int>(continueTenures(to.holder, monotonic(world, message.to)));
        return;
    }
    to.voter.memory.voterChanges = to.holder.voterChanges;
    message.reply = grantLease(to.voter, message.request, to.generation, monotonic(world, message.to));
    for (const auto& former : to.holder.formerVoters)
        message.reply.formerVoters.push_back(former.voters);
    message.isReply = true;
    std::swap(message.from, message.to);
    world.network.push_back(message);
}

void deliverAll(World& world)
{
    for (int hops = 0; hops < 2; ++hops) {
        auto messages = std::move(world.network);
        world.network.clear();
        for (auto& message : messages)
            deliver(world, std::move(message));
    }
}

void sayNotRun(World& world, const KeyedAttempt& attempt)
{
    RC_ASSERT(world.runs[attempt.key] == 0);
    world.attemptsNotRun.insert(attempt.attempt);
}

// The tenure in which the process vouches for the key; zero when it does not.
uint64_t findVouchedTenure(const World& world, size_t index, const std::string& key)
{
    auto tenure = findTenure(world.processes[index].holder, slot, monotonic(world, index));
    auto minted = world.minted.at(key);
    bool isVouched = checkMint(minted, wall(world, index)) == MintFault::None && tenure && coversMint(tenure->since, minted);
    return isVouched ? tenure->number : 0;
}

KeyedAttempt makeAttempt(World& world, const std::string& key)
{
    return { key, "a" + std::to_string(++world.attempts), 1, slot, 0 };
}

void begin(World& world, size_t index, const KeyedAttempt& attempt)
{
    Process& process = world.processes[index];
    KeyedAnswer answer;
    auto decision = process.table->begin(attempt, monotonic(world, index), answer);
    if (decision == KeyDecision::Run)
        process.works.push_back({ attempt, false });
    if (decision == KeyDecision::TableFull)
        sayNotRun(world, attempt);
    if (decision == KeyDecision::AnswerAgain)
        RC_ASSERT(world.runs[attempt.key] == 1);
}

void submit(World& world, size_t index, KeyedAttempt attempt, bool isPaused)
{
    attempt.tenure = findVouchedTenure(world, index, attempt.key);
    if (isPaused)
        world.processes[index].checked.push_back(attempt);
    else
        begin(world, index, attempt);
}

// Stops dispatching in the owner's tenure.
void endOwnTenure(World& world, size_t index)
{
    Process& process = world.processes[index];
    auto now = monotonic(world, index);
    auto tenure = findTenure(process.holder, slot, now);
    process.ended = endTenure(process.holder, slot, now);
    if (tenure && process.ended)
        process.table->closeTenure({ slot, tenure->number });
}

void sendHandOver(World& world, size_t index, size_t successor)
{
    Process& process = world.processes[index];
    if (!process.ended)
        return;
    auto rows = process.table->exportSlots({ slot }, 100, 100).at(slot);
    world.network.push_back({ index, successor, {}, {}, process.incarnation, false, {}, HandOver { *process.ended, std::move(rows) } });
    process.ended.reset();
}

size_t findOwner(const World& world, size_t otherwise)
{
    for (size_t index = 0; index < processCount; ++index) {
        if (findTenure(world.processes[index].holder, slot, monotonic(world, index)))
            return index;
    }
    return otherwise;
}

// A planned change of owner as it mostly goes: all messages arrive, and callers send again what the former owner still
// has in hand.
void changeOwner(World& world, size_t index, size_t successor)
{
    if (index == successor)
        return;
    endOwnTenure(world, index);
    sendHandOver(world, index, successor);
    deliverAll(world);
    ask(world, index, false);
    deliverAll(world);
    ask(world, successor, true);
    deliverAll(world);
    for (const auto& work : world.processes[index].works)
        submit(world, successor, makeAttempt(world, work.attempt.key), false);
}

// Takes one step of a request in hand; the process may be paused between any two.
void proceed(World& world, size_t index, bool isRefused)
{
    Process& process = world.processes[index];
    if (process.works.empty())
        return;
    Work work = process.works.front();
    auto now = monotonic(world, index);
    process.works.erase(process.works.begin());
    if (work.isDispatched) {
        RC_ASSERT(world.attemptsNotRun.count(work.attempt.attempt) == 0);
        RC_ASSERT(++world.runs[work.attempt.key] == 1);
        runsAfterHandOver += world.minted.at(work.attempt.key) < process.tenureStarts[work.attempt.tenure] ? 1 : 0;
        if (isRefused)
            process.table->markLost(work.attempt.key, now);
        else
            process.table->finish(work.attempt.key, { 200, "", "long answer", true }, now);
        return;
    }
    auto tenure = findTenure(process.holder, slot, now);
    bool mayDispatch = !isRefused && tenure && tenure->number == work.attempt.tenure && process.table->markDispatched(work.attempt, now);
    if (mayDispatch) {
        process.works.push_back({ work.attempt, true });
        return;
    }
    if (process.table->withdraw(work.attempt, now))
        sayNotRun(world, work.attempt);
}

// Asks for an attempt, as an entry does after a lost connection: the one in hand or one that arrives later.
void query(World& world, size_t index, const std::string& key)
{
    Process& process = world.processes[index];
    KeyedAttempt attempt;
    if (!process.works.empty() && process.works.front().attempt.key == key) {
        attempt = process.works.front().attempt;
    } else {
        attempt = makeAttempt(world, key);
        process.late.push_back(attempt);
    }
    attempt.tenure = findVouchedTenure(world, index, key);
    KeyedAnswer answer;
    auto state = process.table->queryAndFence(attempt, monotonic(world, index), answer);
    if (state == KeyState::FencedHere)
        world.attemptsNotRun.insert(attempt.attempt);
    if (state == KeyState::Fenced)
        sayNotRun(world, attempt);
}

void askAllBut(World& world, size_t index, size_t skipped)
{
    ask(world, index, true);
    auto& network = world.network;
    network.erase(std::remove_if(network.begin(), network.end(), [skipped](const auto& message) { return message.to == skipped; }), network.end());
    deliverAll(world);
}

// A hand-over whose successor takes the slot only after another tenure, perhaps of the former owner itself, in which a
// key ran; one voter has not heard of that tenure, or some have forgotten all.
void changeOwnerLate(World& world, size_t index, size_t successor, const Step& step, bool hasRestarts)
{
    size_t between = step.a % 2 == 0 ? index : step.a / 2 % processCount;
    size_t skipped = step.a / 11 % processCount;
    endOwnTenure(world, index);
    sendHandOver(world, index, successor);
    deliverAll(world);
    if (hasRestarts && step.a % 3 == 0) {
        for (size_t voter = 0; voter < processCount; ++voter) {
            if (voter != successor)
                restart(world, voter);
        }
    }
    if (step.a % 5 < 3)
        world.time += keyLeaseTime * 11 / 10;
    askAllBut(world, between, skipped);
    world.time += Milliseconds(2000);
    askAllBut(world, between, skipped);
    std::string key = "k" + std::to_string(world.minted.size());
    world.minted.emplace(key, WallTime(world.time));
    submit(world, between, makeAttempt(world, key), false);
    for (size_t left = 2 * world.processes[between].works.size(); left > 0; --left)
        proceed(world, between, false);
    world.time += keyLeaseTime * 11 / 10;
    ask(world, successor, true);
    deliverAll(world);
    submit(world, successor, makeAttempt(world, key), false);
}

void take(World& world, const Step& step, bool hasRestarts)
{
    // Mostly one process after the other is the owner that all want; the rest is chaos.
    size_t preferred = static_cast<size_t>(world.time / preferenceTime) % processCount;
    size_t index = step.b % 4 == 0 || step.kind % 18 < 2 ? step.a % processCount : preferred;
    // One of the latest keys.
    bool isMinted = world.minted.size() >= recentKeys;
    std::string key = "k" + std::to_string(world.minted.size() - 1 - step.a / 7 % recentKeys);
    switch (step.kind % 18) {
    case 0:
    case 1:
        world.time += Milliseconds(step.a % (step.b % 8 == 0 ? 5000 : 500));
        break;
    case 2:
    case 3:
        ask(world, index, true);
        if (step.b / 4 % 3 != 0)
            deliverAll(world);
        break;
    case 4:
        ask(world, index, step.b % 4 != 0);
        break;
    case 5:
    case 6:
        if (!world.network.empty()) {
            size_t position = step.a % world.network.size();
            auto message = world.network[position];
            if (step.b % 4 != 0)
                world.network.erase(world.network.begin() + static_cast<std::ptrdiff_t>(position));
            if (step.b % 8 != 1)
                deliver(world, message);
        }
        break;
    case 7:
        if (hasRestarts && step.b / 4 % 8 == 0)
            restart(world, index);
        break;
    case 8:
        // A process may hear of a later generation first, and then skips those between.
        if (world.processes[index].generation < world.configurations.size())
            adopt(world, index, std::min<Generation>(world.processes[index].generation + 1 + step.b / 4 % 2, world.configurations.size()));
        break;
    case 9:
        for (auto& process : world.processes)
            process.isCut = process.isCut && step.b % 4 == 0;
        world.processes[index].isCut = step.b / 4 % 8 == 0;
        break;
    case 10:
        // Callers' clocks are off by up to three seconds.
        world.minted.emplace("k" + std::to_string(world.minted.size()), WallTime(world.time + Milliseconds(static_cast<int64_t>(step.a % 6000) - 3000)));
        break;
    case 11:
        if (isMinted)
            query(world, index, key);
        break;
    case 12:
        if (isMinted)
            submit(world, index, makeAttempt(world, key), step.b % 5 == 1);
        break;
    case 13:
        if (!world.processes[index].checked.empty()) {
            begin(world, index, world.processes[index].checked.back());
            world.processes[index].checked.pop_back();
        } else if (!world.processes[index].late.empty()) {
            submit(world, index, world.processes[index].late[step.b % world.processes[index].late.size()], false);
        }
        break;
    case 16:
        if (step.b % 8 == 0)
            endOwnTenure(world, findOwner(world, index));
        else if (step.b % 8 < 4)
            changeOwner(world, findOwner(world, index), preferred);
        else if (step.b % 8 == 4)
            changeOwnerLate(world, findOwner(world, index), preferred, step, hasRestarts);
        break;
    case 17:
        sendHandOver(world, index, step.b / 4 % 2 == 0 ? preferred : step.a / 5 % processCount);
        break;
    default:
        proceed(world, index, step.b % 5 == 0);
    }
}

// Leases exclude each other, also where no key shows it.
void checkOneOwner(const World& world)
{
    int owners = 0;
    for (size_t index = 0; index < processCount; ++index)
        owners += findTenure(world.processes[index].holder, slot, monotonic(world, index)) ? 1 : 0;
    RC_ASSERT(owners <= 1);
}

void runHistory(std::vector<VoterSet> configurations, bool hasRestarts)
{
    World world;
    world.configurations = std::move(configurations);
    for (size_t index = 0; index < processCount; ++index)
        restart(world, index);
    const auto number = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint64_t>(0, 1 << 30));
    const auto steps = *rc::gen::container<std::vector<Step>>(3000, rc::gen::construct<Step>(number, number, number));
    for (const auto& step : steps) {
        take(world, step, hasRestarts);
        checkOneOwner(world);
    }
    for (const auto& [key, count] : world.runs)
        totalRuns += count;
}

} // namespace

// Restarts, pauses, partitions, lost, late and doubled messages; the voters stay.
RC_BOOST_PROP(runsOnceWithRestarts, ())
{
    runHistory({ { "p0", "p1", "p2" }, { "p0", "p1", "p2" } }, true);
}

// Each configuration replaces one voter; processes adopt it at any time, or never.
RC_BOOST_PROP(runsOnceWhenVotersChange, ())
{
    runHistory({ { "p0", "p1", "p2" }, { "p0", "p1", "p3" }, { "p0", "p3", "p4" } }, false);
}

// The voters change and change back; whoever skips the generation between knows nothing of its voters.
RC_BOOST_PROP(runsOnceWhenVotersChangeBack, ())
{
    runHistory({ { "p0", "p1", "p2" }, { "p2", "p3", "p4" }, { "p0", "p1", "p2" } }, false);
}

// Processes with these generations of two voter sets, the first of which comes back.
static World changeVoters(const std::vector<Generation>& generations)
{
    World world;
    world.configurations = { { "p0", "p1", "p2" }, { "p2", "p3", "p4" }, { "p0", "p1", "p2" } };
    for (size_t index = 0; index < processCount; ++index) {
        restart(world, index);
        adopt(world, index, generations[index]);
    }
    return world;
}

// All ask the voters for some leases' time, some of them for the slot.
static void askForLeases(World& world, const std::set<size_t>& wanting)
{
    for (auto until = world.time + 3 * keyLeaseTime; world.time < until; world.time += keyLeaseInterval) {
        for (size_t index = 0; index < processCount; ++index)
            ask(world, index, wanting.count(index) > 0);
        deliverAll(world);
        checkOneOwner(world);
    }
}

// What a process has forgotten its peers still tell it of for a while.
BOOST_AUTO_TEST_CASE(formerVotersAreForgottenByAll)
{
    World world = changeVoters({ 2, 2, 2, 2, 2 });
    askForLeases(world, { 3 });
    BOOST_TEST(findOwner(world, processCount) == 3);
    for (const auto& process : world.processes)
        BOOST_TEST(process.holder.formerVoters.empty());
}

// The former voters skip a generation, so that none of them tells the owner of the latest one of the voters between.
BOOST_AUTO_TEST_CASE(votersThatSkippedAGenerationDoNotEndTheirSet)
{
    World world = changeVoters({ 3, 3, 1, 2, 2 });
    askForLeases(world, { 3 });
    askForLeases(world, { 0, 3 });
    BOOST_TEST(findOwner(world, processCount) == 0);
}

// The histories above would prove nothing if no key ever ran, or none by virtue of a hand-over.
BOOST_AUTO_TEST_CASE(keysDidRun)
{
    BOOST_TEST_MESSAGE("runs " << totalRuns << ", tenures continued " << continuedTenures << ", runs after a hand-over " << runsAfterHandOver);
    BOOST_TEST(totalRuns > 200);
    BOOST_TEST(continuedTenures > 200);
    BOOST_TEST(runsAfterHandOver > 20);
}
