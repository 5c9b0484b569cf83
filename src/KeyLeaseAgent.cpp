#include "KeyLeaseAgent.h"

#include "KeyHandOver.h"
#include "KeyLeaseMessage.h"
#include "Node.h"
#include "PeerCall.h"

#include <algorithm>

namespace bilberry {

// Longest time of one request to a voter.
static constexpr Milliseconds leaseCallTimeout { 500 };
// After a hand-over the slots are asked for more often: they are free once the former owner has given them back.
static constexpr Milliseconds hurriedTime { 500 };
static constexpr Milliseconds hurriedInterval { 50 };

KeyLeaseAgent::KeyLeaseAgent(Node& node, KeyTable& table)
    : node(node)
    , table(table)
{
    this->voter.startedAt = this->startedAt;
}

KeyLeaseAgent::~KeyLeaseAgent()
{
    this->stop();
}

void KeyLeaseAgent::start()
{
    this->thread = std::thread([this] {
        while (!this->isStopping) {
            this->tick();
            this->waitForNextTick();
        }
        // What is still held is given back before the process ends.
        if (this->node.isLeaving && !this->wanted.empty())
            this->tick();
    });
}

void KeyLeaseAgent::waitForNextTick() const
{
    auto next = Clock::now() + keyLeaseInterval;
    auto isHurried = [this](TimePoint now) { return now - this->takenOverAt.load() < hurriedTime; };
    do {
        std::this_thread::sleep_for(hurriedInterval);
    } while (!this->isStopping && Clock::now() < next && !isHurried(Clock::now()));
}

void KeyLeaseAgent::stop()
{
    this->isStopping = true;
    if (this->thread.joinable())
        this->thread.join();
}

std::optional<KeyTenure> KeyLeaseAgent::tenure(uint32_t slot) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return findTenure(this->holder, slot, Clock::now());
}

uint32_t KeyLeaseAgent::slotsHeld() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    uint32_t held = 0;
    for (uint32_t slot = 0; slot < keySlotCount; ++slot)
        held += findTenure(this->holder, slot, Clock::now()) ? 1 : 0;
    return held;
}

void KeyLeaseAgent::refreshOwners(const Configuration& configuration, RowIndex own)
{
    if (configuration.generation == this->ownersGeneration)
        return;
    this->ownersGeneration = configuration.generation;
    this->owners.clear();
    for (uint32_t slot = 0; slot < keySlotCount; ++slot)
        this->owners.push_back(rankSlotOwners(configuration, configuration.inventory.vms[own].service, slot));
}

bool isAvailableOwner(const Node& node, const std::string& vm, TimePoint now)
{
    auto report = node.fleet.find(vm);
    if (!report || now - report->reportedAt > reportLifetime || report->status.isLeaving)
        return false;
    auto live = node.published.liveList();
    if (!live)
        return true;
    // A VM that reports and is not listed is new to the list.
    auto found = live->vms.find(vm);
    return found == live->vms.end() || found->second == LiveState::Live;
}

std::vector<uint32_t> KeyLeaseAgent::chooseSlots(const Configuration& configuration, RowIndex own, TimePoint now) const
{
    std::vector<uint32_t> slots;
    if (this->node.isLeaving)
        return slots;
    // A process that has just started has heard nobody yet; it asks only for what is its own by preference.
    bool isStarting = now - this->startedAt < keyLeaseTime;
    for (uint32_t slot = 0; slot < this->owners.size(); ++slot) {
        for (RowIndex vm : this->owners[slot]) {
            if (vm == own)
                slots.push_back(slot);
            if (vm == own || isStarting || isAvailableOwner(this->node, configuration.inventory.vms[vm].name, now))
                break;
        }
    }
    return slots;
}

LeaseRequest KeyLeaseAgent::makeRequest(const Configuration& configuration, RowIndex own, const std::vector<uint32_t>& slots)
{
    const Inventory& inventory = configuration.inventory;
    VoterSet voters;
    for (RowIndex vm : findKeyVoters(configuration, inventory.vms[own].service))
        voters.push_back(inventory.vms[vm].address);
    std::lock_guard<std::mutex> lock(this->mutex);
    setVoters(this->holder, std::move(voters), configuration.generation, Clock::now());
    LeaseHolderId self { this->node.settings.vm, this->node.incarnation };
    LeaseRequest request { self, ++this->sequence, configuration.generation, inventory.services[inventory.vms[own].service].name, {} };
    for (uint32_t slot : slots)
        request.slots.push_back({ slot, this->holder.claims[slot] });
    return request;
}

LeaseReply KeyLeaseAgent::grant(const LeaseRequest& request)
{
    auto configuration = this->node.published.configuration();
    RowIndex own = configuration ? findOwnVm(this->node, *configuration) : noRow;
    if (own == noRow)
        return {};
    const Inventory& inventory = configuration->inventory;
    RowIndex service = inventory.vms[own].service;
    if (service == noRow || inventory.services[service].name != request.service)
        return {};
    std::lock_guard<std::mutex> lock(this->mutex);
    this->voter.memory = { this->node.incarnation, this->holder.voterChanges };
    LeaseReply reply = grantLease(this->voter, request, configuration->generation, Clock::now());
    for (const auto& former : this->holder.formerVoters)
        reply.formerVoters.push_back(former.voters);
    return reply;
}

std::string KeyLeaseAgent::answer(const std::string& parameters)
{
    auto request = parseLeaseRequest(parameters);
    if (!request) {
        this->node.metrics.count("bilberry_messages_refused_total", { { "method", "key_lease" } });
        return {};
    }
    auto reply = this->grant(*request);
    return formatLeaseReply(reply);
}

void KeyLeaseAgent::applyReply(const std::string& voter, const LeaseReply& reply, TimePoint sentAt)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    takeReply(this->holder, voter, reply, sentAt, Clock::now(), std::chrono::system_clock::now());
    uint32_t continued = continueTenures(this->holder, Clock::now());
    if (continued > 0)
        this->node.metrics.count("bilberry_key_tenures_continued_total", {}, continued);
}

void KeyLeaseAgent::askVoter(const std::string& address, const LeaseRequest& request)
{
    auto sentAt = Clock::now();
    auto reply = parseLeaseReply(callPeer(this->node, address, "key_lease", formatLeaseRequest(request), leaseCallTimeout));
    this->node.metrics.count("bilberry_key_lease_requests_total", { { "result", reply ? "ok" : "failed" } });
    if (reply)
        this->applyReply(address, *reply, sentAt);
}

void KeyLeaseAgent::tick()
{
    auto configuration = this->node.published.configuration();
    RowIndex own = configuration ? findOwnVm(this->node, *configuration) : noRow;
    if (own == noRow || !hasUnrepeatableRequests(*configuration, configuration->inventory.vms[own].service))
        return;
    this->refreshOwners(*configuration, own);
    auto slots = this->chooseSlots(*configuration, own, Clock::now());
    this->handOver(*configuration, own, this->endTenures(slots));
    auto request = this->makeRequest(*configuration, own, slots);
    const std::string& ownAddress = configuration->inventory.vms[own].address;
    std::vector<std::thread> calls;
    VoterSet voters;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        voters = votersToAsk(this->holder);
    }
    for (const auto& address : voters) {
        if (address != ownAddress)
            calls.emplace_back([this, &address, &request] { this->askVoter(address, request); });
    }
    if (std::find(voters.begin(), voters.end(), ownAddress) != voters.end()) {
        auto sentAt = Clock::now();
        this->applyReply(ownAddress, this->grant(request), sentAt);
    }
    for (auto& call : calls)
        call.join();
    this->node.metrics.set("bilberry_key_slots_held", this->slotsHeld());
}

} // namespace bilberry
