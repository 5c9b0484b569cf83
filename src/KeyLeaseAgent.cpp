#include "KeyLeaseAgent.h"

#include "Node.h"
#include "PeerCall.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

// Longest time of one request to a voter.
static constexpr Milliseconds leaseCallTimeout { 500 };

KeyLeaseAgent::KeyLeaseAgent(Node& node)
    : node(node)
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
            std::this_thread::sleep_for(keyLeaseInterval);
        }
    });
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

// Whether another endpoint can hold slots, as far as is known here.
static bool isAvailable(const Node& node, const std::string& vm, TimePoint now)
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
            if (vm == own || isStarting || isAvailable(this->node, configuration.inventory.vms[vm].name, now))
                break;
        }
    }
    return slots;
}

LeaseRequest KeyLeaseAgent::makeRequest(const Configuration& configuration, RowIndex own)
{
    const Inventory& inventory = configuration.inventory;
    auto now = Clock::now();
    auto slots = this->chooseSlots(configuration, own, now);
    VoterSet voters;
    for (RowIndex vm : findKeyVoters(configuration, inventory.vms[own].service))
        voters.push_back(inventory.vms[vm].address);
    std::lock_guard<std::mutex> lock(this->mutex);
    setVoters(this->holder, std::move(voters), configuration.generation, now);
    for (uint32_t slot : this->wanted) {
        if (std::find(slots.begin(), slots.end(), slot) == slots.end())
            dropSlot(this->holder, slot, now);
    }
    this->wanted = slots;
    LeaseHolderId self { this->node.settings.vm, this->node.incarnation };
    return { self, ++this->sequence, configuration.generation, inventory.services[inventory.vms[own].service].name, std::move(slots) };
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
    LeaseReply reply = grantLease(this->voter, request, configuration->generation, Clock::now());
    for (const auto& former : this->holder.formerVoters)
        reply.formerVoters.push_back(former.voters);
    return reply;
}

static json toJson(const LeaseRequest& request)
{
    return { { "vm", request.holder.vm }, { "incarnation", request.holder.incarnation }, { "sequence", request.sequence },
        { "generation", request.generation }, { "service", request.service }, { "slots", request.slots } };
}

static std::optional<LeaseRequest> parseLeaseRequest(const std::string& text)
{
    LeaseRequest request;
    try {
        auto message = json::parse(text);
        message.at("vm").get_to(request.holder.vm);
        message.at("incarnation").get_to(request.holder.incarnation);
        message.at("sequence").get_to(request.sequence);
        message.at("generation").get_to(request.generation);
        message.at("service").get_to(request.service);
        message.at("slots").get_to(request.slots);
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return request;
}

std::string KeyLeaseAgent::answer(const std::string& parameters)
{
    auto request = parseLeaseRequest(parameters);
    if (!request) {
        this->node.metrics.count("bilberry_messages_refused_total", { { "method", "key_lease" } });
        return {};
    }
    auto reply = this->grant(*request);
    return json { { "generation", reply.generation }, { "granted", reply.granted }, { "former_voters", reply.formerVoters } }.dump();
}

static std::optional<LeaseReply> parseLeaseReply(const std::string& text)
{
    LeaseReply reply;
    try {
        auto message = json::parse(text);
        message.at("generation").get_to(reply.generation);
        message.at("granted").get_to(reply.granted);
        message.at("former_voters").get_to(reply.formerVoters);
    } catch (const json::exception&) {
        return std::nullopt;
    }
    bool isInRange = std::all_of(reply.granted.begin(), reply.granted.end(), [](uint32_t slot) { return slot < keySlotCount; });
    return isInRange ? std::optional(std::move(reply)) : std::nullopt;
}

void KeyLeaseAgent::askVoter(const std::string& address, const LeaseRequest& request)
{
    auto sentAt = Clock::now();
    auto reply = parseLeaseReply(callPeer(this->node, address, "key_lease", toJson(request).dump(), leaseCallTimeout));
    this->node.metrics.count("bilberry_key_lease_requests_total", { { "result", reply ? "ok" : "failed" } });
    if (!reply)
        return;
    std::lock_guard<std::mutex> lock(this->mutex);
    takeReply(this->holder, address, *reply, sentAt, Clock::now(), std::chrono::system_clock::now());
}

void KeyLeaseAgent::tick()
{
    auto configuration = this->node.published.configuration();
    RowIndex own = configuration ? findOwnVm(this->node, *configuration) : noRow;
    if (own == noRow || !hasUnrepeatableRequests(*configuration, configuration->inventory.vms[own].service))
        return;
    this->refreshOwners(*configuration, own);
    auto request = this->makeRequest(*configuration, own);
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
        auto reply = this->grant(request);
        std::lock_guard<std::mutex> lock(this->mutex);
        takeReply(this->holder, ownAddress, reply, sentAt, Clock::now(), std::chrono::system_clock::now());
    }
    for (auto& call : calls)
        call.join();
    this->node.metrics.set("bilberry_key_slots_held", this->slotsHeld());
}

} // namespace bilberry
