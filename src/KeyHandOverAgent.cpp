/// The part of the lease agent that hands slots over to their next owners, and takes them over.

#include "KeyHandOver.h"
#include "KeyLeaseAgent.h"
#include "Node.h"
#include "PeerCall.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bilberry {

// How long the requests in progress of the slots are waited for; later their outcome is handed over as unknown.
static constexpr Milliseconds runningWait { 500 };
static constexpr Milliseconds runningCheckInterval { 10 };
// Longest time of all messages of one hand-over, and of one of them. With the wait it stays below the hold time less
// the lease interval, so that other slots' leases don't lapse meanwhile.
static constexpr Milliseconds handOverTime { 1000 };
static constexpr Milliseconds handOverCallTimeout { 500 };
// Bounds of what is handed over of one slot.
static constexpr size_t maxSlotRows = 4000;
static constexpr size_t maxSlotAnswerBytes = size_t(64) << 10;
// Bytes of one message, but for a slot that is larger.
static constexpr size_t messageBytes = size_t(256) << 10;

std::vector<TenureRecord> KeyLeaseAgent::endTenures(const std::vector<uint32_t>& slots)
{
    std::vector<TenureRecord> ended;
    std::vector<ClosedTenure> closed;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        for (uint32_t slot : this->wanted) {
            if (std::find(slots.begin(), slots.end(), slot) != slots.end())
                continue;
            auto now = Clock::now();
            auto tenure = findTenure(this->holder, slot, now);
            auto record = endTenure(this->holder, slot, now);
            if (!tenure || !record)
                continue;
            closed.push_back({ slot, tenure->number });
            ended.push_back(std::move(*record));
        }
    }
    this->wanted = slots;
    // From here on no request that was checked before is dispatched any more.
    for (const auto& tenure : closed)
        this->table.closeTenure(tenure);
    return ended;
}

static std::vector<uint32_t> slotsOf(const std::vector<TenureRecord>& records)
{
    std::vector<uint32_t> slots;
    slots.reserve(records.size());
    for (const auto& record : records)
        slots.push_back(record.slot);
    return slots;
}

static void waitForRunning(const KeyTable& table, const std::vector<uint32_t>& slots)
{
    auto until = Clock::now() + runningWait;
    while (table.countRunning(slots) > 0 && Clock::now() < until)
        std::this_thread::sleep_for(runningCheckInterval);
}

std::map<RowIndex, std::vector<SlotHandOver>> KeyLeaseAgent::groupBySuccessor(const Configuration& configuration, RowIndex own, std::vector<TenureRecord> records) const
{
    auto rows = this->table.exportSlots(slotsOf(records), maxSlotRows, maxSlotAnswerBytes);
    std::map<RowIndex, std::vector<SlotHandOver>> groups;
    auto now = Clock::now();
    for (auto& record : records) {
        const auto& ranked = this->owners[record.slot];
        auto successor = std::find_if(ranked.begin(), ranked.end(), [&](RowIndex vm) {
            return vm != own && isAvailableOwner(this->node, configuration.inventory.vms[vm].name, now);
        });
        auto exported = rows.find(record.slot);
        if (successor == ranked.end() || exported == rows.end()) {
            this->node.metrics.count("bilberry_key_hand_overs_total", { { "result", successor == ranked.end() ? "no-successor" : "too-large" } });
            continue;
        }
        groups[*successor].push_back({ std::move(record), std::move(exported->second) });
    }
    return groups;
}

void KeyLeaseAgent::sendHandOver(const Configuration& configuration, RowIndex successor, std::vector<SlotHandOver> slots, TimePoint deadline)
{
    const Vm& vm = configuration.inventory.vms[successor];
    HandOverMessage message;
    size_t bytes = 0;
    auto send = [&] {
        auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
        bool isInTime = left > Milliseconds(0);
        auto reply = isInTime ? callPeer(this->node, vm.address, "key_hand_over", formatHandOver(message), std::min(left, handOverCallTimeout)) : std::string();
        auto count = static_cast<double>(message.slots.size());
        this->node.metrics.count("bilberry_key_hand_overs_total", { { "result", reply.empty() ? "failed" : "sent" } }, count);
        message.slots.clear();
        bytes = 0;
    };
    message.service = configuration.inventory.services[vm.service].name;
    for (auto& slot : slots) {
        size_t size = measureHandOver(slot);
        if (!message.slots.empty() && bytes + size > messageBytes)
            send();
        bytes += size;
        message.slots.push_back(std::move(slot));
    }
    send();
}

void KeyLeaseAgent::handOver(const Configuration& configuration, RowIndex own, std::vector<TenureRecord> records)
{
    if (records.empty())
        return;
    waitForRunning(this->table, slotsOf(records));
    auto groups = this->groupBySuccessor(configuration, own, std::move(records));
    auto deadline = Clock::now() + handOverTime;
    std::vector<std::thread> calls;
    calls.reserve(groups.size());
    for (auto& group : groups) {
        calls.emplace_back([this, &configuration, &group, deadline] { this->sendHandOver(configuration, group.first, std::move(group.second), deadline); });
    }
    for (auto& call : calls)
        call.join();
}

uint32_t KeyLeaseAgent::takeHandOver(const HandOverMessage& message)
{
    uint32_t taken = 0;
    for (const auto& slot : message.slots) {
        // The rows first: they must be known before the process vouches for their keys.
        if (!this->table.importRows(slot.tenure.slot, slot.rows, Clock::now()))
            continue;
        std::lock_guard<std::mutex> lock(this->mutex);
        noteHandOver(this->holder, slot.tenure);
        ++taken;
    }
    if (taken > 0)
        this->takenOverAt = Clock::now();
    std::lock_guard<std::mutex> lock(this->mutex);
    uint32_t continued = continueTenures(this->holder, Clock::now());
    if (continued > 0)
        this->node.metrics.count("bilberry_key_tenures_continued_total", {}, continued);
    return taken;
}

std::string KeyLeaseAgent::answerHandOver(const std::string& parameters)
{
    auto message = parseHandOver(parameters);
    auto configuration = this->node.published.configuration();
    RowIndex own = configuration ? findOwnVm(this->node, *configuration) : noRow;
    RowIndex service = own == noRow ? noRow : configuration->inventory.vms[own].service;
    bool isOurs = message && service != noRow && configuration->inventory.services[service].name == message->service;
    if (!isOurs) {
        this->node.metrics.count("bilberry_messages_refused_total", { { "method", "key_hand_over" } });
        return {};
    }
    return nlohmann::json { { "taken", this->takeHandOver(*message) } }.dump();
}

} // namespace bilberry
