#include "RequestMemory.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace bilberry {

// Share of a VM's memory that callers may make a process hold.
static constexpr size_t memoryDivisor = 4;
// Share of the sum that is kept for small requests, and the share that one address may hold.
static constexpr size_t reserveDivisor = 4;
static constexpr size_t addressDivisor = 2;
// Bytes that a connection holds beside the body of its request.
static constexpr size_t assumedHeadBytes = 64 << 10;
// Share of a VM's memory for open connections, and what one holds without a request.
static constexpr size_t connectionDivisor = 8;
static constexpr size_t idleConnectionBytes = 16 << 10;
// Shares of a process's file descriptors for the connections of callers, peers, and readers of the readiness or the metrics.
static constexpr size_t callerDescriptorDivisor = 2;
static constexpr size_t peerDescriptorDivisor = 5;
static constexpr size_t observerDescriptorDivisor = 32;
// Largest number of bytes of all responses that are buffered at a time, and their share of a VM's memory.
static constexpr size_t maxBufferedResponseBytesOfAll = 48 << 20;
static constexpr size_t responseDivisor = 4;
// Time that a request has for its body, also while new connections wait for room.
static constexpr Milliseconds minTimeForBody { 1000 };
// Seconds that a connection has held its bytes at least, for the comparison of two that hold theirs only now.
static constexpr double leastAge = 0.001;

RequestMemoryLimits makeRequestMemoryLimits(size_t vmMemoryBytes, size_t maxBodyBytes)
{
    return makeLimitsOfSum(vmMemoryBytes / memoryDivisor, maxBodyBytes);
}

RequestMemoryLimits makeLimitsOfSum(size_t maxBytes, size_t maxBodyBytes)
{
    RequestMemoryLimits limits;
    if (maxBytes == 0)
        return limits;
    size_t largestRequest = maxBodyBytes + assumedHeadBytes;
    limits.maxBytes = std::max(maxBytes, 2 * largestRequest);
    limits.maxBytesOfAddress = std::max(limits.maxBytes / addressDivisor, largestRequest);
    limits.reservedBytes = limits.maxBytes / reserveDivisor;
    return limits;
}

static size_t connectionsFor(size_t vmMemoryBytes, size_t descriptors)
{
    if (vmMemoryBytes == 0)
        return descriptors;
    return std::min(descriptors, vmMemoryBytes / connectionDivisor / idleConnectionBytes);
}

size_t maxCallerConnections(size_t vmMemoryBytes, size_t maxDescriptors)
{
    return connectionsFor(vmMemoryBytes, maxDescriptors / callerDescriptorDivisor);
}

size_t maxPeerConnections(size_t vmMemoryBytes, size_t maxDescriptors)
{
    return connectionsFor(vmMemoryBytes, maxDescriptors / peerDescriptorDivisor);
}

size_t maxObserverConnections(size_t vmMemoryBytes, size_t maxDescriptors)
{
    return connectionsFor(vmMemoryBytes, maxDescriptors / observerDescriptorDivisor);
}

size_t maxBufferedResponses(size_t vmMemoryBytes)
{
    if (vmMemoryBytes == 0)
        return maxBufferedResponseBytesOfAll;
    return std::min(maxBufferedResponseBytesOfAll, vmMemoryBytes / responseDivisor);
}

Holding& addHolding(RequestMemory& memory, const std::string& address, const void* server, TimePoint now)
{
    uint64_t number = memory.nextNumber++;
    auto& holding = memory.holdings[number];
    holding.number = number;
    holding.server = server;
    holding.address = &memory.addresses[address];
    holding.address->address = address;
    ++holding.address->connections;
    holding.since = now;
    return holding;
}

void stopWaiting(RequestMemory& memory, Holding& holding)
{
    memory.waiting -= holding.wantedBytes > 0 ? 1 : 0;
    holding.wantedBytes = 0;
}

void removeHolding(RequestMemory& memory, uint64_t number)
{
    auto found = memory.holdings.find(number);
    assert(found != memory.holdings.end());
    auto& holding = found->second;
    stopWaiting(memory, holding);
    memory.bytes -= holding.bytes;
    holding.address->bytes -= holding.bytes;
    bool wasLastOfAddress = --holding.address->connections == 0;
    if (wasLastOfAddress)
        memory.addresses.erase(std::string(holding.address->address));
    memory.holdings.erase(found);
}

static bool isReading(HoldingPhase phase)
{
    return phase == HoldingPhase::ReadingHead || phase == HoldingPhase::ReadingBody;
}

void setHolding(RequestMemory& memory, Holding& holding, HoldingPhase phase, size_t bytes, TimePoint now)
{
    stopWaiting(memory, holding);
    memory.bytes += bytes - holding.bytes;
    holding.address->bytes += bytes - holding.bytes;
    holding.bytes = bytes;
    bool goesOn = phase == holding.phase || (isReading(phase) && isReading(holding.phase));
    if (!goesOn)
        holding.since = now;
    holding.phase = phase;
}

bool mayHold(const RequestMemory& memory, const Holding& holding, size_t bytes)
{
    const auto& limits = memory.limits;
    bool isSmall = bytes <= limits.smallRequestBytes;
    if (isSmall || bytes <= holding.bytes)
        return true;
    size_t more = bytes - holding.bytes;
    // Small requests may take the reserve and more: what larger ones hold doesn't shrink for that.
    bool fitsSum = memory.bytes + more <= limits.maxBytes - limits.reservedBytes;
    return fitsSum && holding.address->bytes + more <= limits.maxBytesOfAddress;
}

void waitToHold(RequestMemory& memory, Holding& holding, size_t bytes, TimePoint now)
{
    assert(bytes > 0);
    if (holding.wantedBytes == 0) {
        ++memory.waiting;
        holding.waitsSince = now;
    }
    holding.wantedBytes = bytes;
}

std::optional<uint64_t> nextToGoOn(const RequestMemory& memory)
{
    const Holding* next = nullptr;
    for (const auto& [number, holding] : memory.holdings) {
        bool mayGoOn = holding.wantedBytes > 0 && mayHold(memory, holding, holding.wantedBytes);
        if (mayGoOn && (!next || holding.waitsSince < next->waitsSince))
            next = &holding;
    }
    return next ? std::optional(next->number) : std::nullopt;
}

static const Holding* longestWaiting(const RequestMemory& memory)
{
    const Holding* longest = nullptr;
    for (const auto& [number, holding] : memory.holdings) {
        if (holding.wantedBytes > 0 && (!longest || holding.waitsSince < longest->waitsSince))
            longest = &holding;
    }
    return longest;
}

namespace {

/// Bytes that have to be given up: in sum and, of them, by connections from one address.
struct MissingBytes {
    size_t inSum = 0;
    size_t ofAddress = 0;
    const AddressUse* address = nullptr;
};

} // namespace

static size_t excess(size_t bytes, size_t limit)
{
    return bytes > limit ? bytes - limit : 0;
}

static MissingBytes findMissingBytes(const RequestMemory& memory, TimePoint now)
{
    const auto& limits = memory.limits;
    MissingBytes missing;
    missing.inSum = excess(memory.bytes, limits.maxBytes);
    const auto* waiting = memory.waiting > 0 ? longestWaiting(memory) : nullptr;
    if (!waiting || now - waiting->waitsSince < limits.maxPause)
        return missing;
    size_t more = waiting->wantedBytes - std::min(waiting->wantedBytes, waiting->bytes);
    missing.inSum = std::max(missing.inSum, excess(memory.bytes + more, limits.maxBytes - limits.reservedBytes));
    missing.ofAddress = excess(waiting->address->bytes + more, limits.maxBytesOfAddress);
    missing.address = waiting->address;
    return missing;
}

// The bytes that a connection holds times the seconds for which it has held them.
static double burdenOf(const Holding& holding, TimePoint now)
{
    auto age = std::chrono::duration<double>(now - holding.since).count();
    return static_cast<double>(holding.bytes) * std::max(age, leastAge);
}

std::vector<uint64_t> chooseToGiveUp(const RequestMemory& memory, TimePoint now)
{
    auto missing = findMissingBytes(memory, now);
    std::vector<uint64_t> chosen;
    if (missing.inSum + missing.ofAddress == 0)
        return chosen;
    std::vector<const Holding*> candidates;
    for (const auto& [number, holding] : memory.holdings) {
        if (holding.phase != HoldingPhase::Running && holding.bytes > 0)
            candidates.push_back(&holding);
    }
    std::sort(candidates.begin(), candidates.end(), [now](const Holding* a, const Holding* b) { return burdenOf(*a, now) > burdenOf(*b, now); });
    for (const auto* holding : candidates) {
        bool helpsAddress = missing.ofAddress > 0 && holding->address == missing.address;
        if (missing.inSum == 0 && !helpsAddress)
            continue;
        chosen.push_back(holding->number);
        missing.inSum -= std::min(missing.inSum, holding->bytes);
        if (helpsAddress)
            missing.ofAddress -= std::min(missing.ofAddress, holding->bytes);
    }
    return chosen;
}

static bool isReadingBody(const Holding& holding)
{
    return holding.phase == HoldingPhase::ReadingBody;
}

// Whether a connection may be closed for a new one: it has no request, or one whose body takes its time.
static bool mayMakeRoom(const Holding& holding, TimePoint now)
{
    bool hasNoRequest = holding.phase == HoldingPhase::Idle || holding.phase == HoldingPhase::ReadingHead;
    return hasNoRequest || (isReadingBody(holding) && now - holding.since >= minTimeForBody);
}

std::optional<uint64_t> chooseToClose(const RequestMemory& memory, const void* server, TimePoint now)
{
    const Holding* chosen = nullptr;
    auto isSooner = [](const Holding& a, const Holding& b) {
        return std::make_tuple(isReadingBody(a), b.address->connections, a.since) < std::make_tuple(isReadingBody(b), a.address->connections, b.since);
    };
    for (const auto& [number, holding] : memory.holdings) {
        if (holding.server == server && mayMakeRoom(holding, now) && (!chosen || isSooner(holding, *chosen)))
            chosen = &holding;
    }
    return chosen ? std::optional(chosen->number) : std::nullopt;
}

} // namespace bilberry
