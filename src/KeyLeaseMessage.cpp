#include "KeyLeaseMessage.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

std::string formatLeaseRequest(const LeaseRequest& request)
{
    std::vector<uint32_t> slots;
    std::vector<uint64_t> claims;
    for (const auto& row : request.slots) {
        slots.push_back(row.slot);
        claims.push_back(row.claim);
    }
    json message { { "vm", request.holder.vm }, { "incarnation", request.holder.incarnation }, { "sequence", request.sequence },
        { "generation", request.generation }, { "service", request.service }, { "slots", slots }, { "claims", claims } };
    return message.dump();
}

std::optional<LeaseRequest> parseLeaseRequest(const std::string& text)
{
    LeaseRequest request;
    try {
        auto message = json::parse(text);
        message.at("vm").get_to(request.holder.vm);
        message.at("incarnation").get_to(request.holder.incarnation);
        message.at("sequence").get_to(request.sequence);
        message.at("generation").get_to(request.generation);
        message.at("service").get_to(request.service);
        auto slots = message.at("slots").get<std::vector<uint32_t>>();
        // An earlier version sends none; it hands nothing over.
        auto claims = message.value("claims", std::vector<uint64_t>(slots.size()));
        if (claims.size() != slots.size())
            return std::nullopt;
        for (size_t i = 0; i < slots.size(); ++i)
            request.slots.push_back({ slots[i], claims[i] });
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return request;
}

std::string formatLeaseReply(const LeaseReply& reply)
{
    std::vector<uint32_t> granted;
    std::vector<uint64_t> numbers;
    for (const auto& grant : reply.granted) {
        granted.push_back(grant.slot);
        numbers.push_back(grant.number);
    }
    json message { { "generation", reply.generation }, { "granted", granted }, { "numbers", numbers },
        { "incarnation", reply.memory.incarnation }, { "voter_changes", reply.memory.voterChanges }, { "former_voters", reply.formerVoters } };
    return message.dump();
}

std::optional<LeaseReply> parseLeaseReply(const std::string& text)
{
    LeaseReply reply;
    try {
        auto message = json::parse(text);
        message.at("generation").get_to(reply.generation);
        message.at("former_voters").get_to(reply.formerVoters);
        auto granted = message.at("granted").get<std::vector<uint32_t>>();
        // An earlier version sends none; its grants prove no hand-over.
        auto numbers = message.value("numbers", std::vector<uint64_t>(granted.size()));
        reply.memory.incarnation = message.value("incarnation", uint64_t(0));
        reply.memory.voterChanges = message.value("voter_changes", uint64_t(0));
        if (numbers.size() != granted.size())
            return std::nullopt;
        for (size_t i = 0; i < granted.size(); ++i)
            reply.granted.push_back({ granted[i], numbers[i] });
    } catch (const json::exception&) {
        return std::nullopt;
    }
    bool isInRange = std::all_of(reply.granted.begin(), reply.granted.end(), [](const auto& grant) { return grant.slot < keySlotCount; });
    return isInRange ? std::optional(std::move(reply)) : std::nullopt;
}

} // namespace bilberry
