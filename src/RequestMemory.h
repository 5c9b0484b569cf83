/// Decides how many bytes and connections callers may make a process hold: who waits, who may go on, and who is given up when the
/// sum is reached.
#pragma once

#include "Types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// What a connection holds its bytes for.
enum class HoldingPhase : uint8_t {
    Idle, ///< No byte of a request has been read; such a connection counts among the connections, not with its bytes.
    ReadingHead,
    ReadingBody, ///< The head has been read, so that a refusal can be answered.
    Running, ///< The request has been read completely; it is not given up.
    Writing, ///< A response waits for the caller to read it.
};

struct RequestMemoryLimits {
    size_t maxBytes = SIZE_MAX; ///< Bytes that all connections may hold together.
    size_t maxBytesOfAddress = SIZE_MAX; ///< Bytes that larger requests from one address may hold together.
    size_t reservedBytes = 0; ///< Part of maxBytes that is kept for connections that hold smallRequestBytes at most.
    size_t smallRequestBytes = 64 << 10;
    Milliseconds maxPause { 200 }; ///< Time for which reading stops before another one, or the waiting one itself, is given up.
};

/// Returns the limits for a VM with that much memory, which leave room for one request of the largest size; no limits if
/// `vmMemoryBytes` is zero.
RequestMemoryLimits makeRequestMemoryLimits(size_t vmMemoryBytes, size_t maxBodyBytes);

/// Returns how many connections callers, peers and those who read the readiness or the metrics may keep open at a time.
/// `vmMemoryBytes` is zero if it isn't known.
size_t maxCallerConnections(size_t vmMemoryBytes, size_t maxDescriptors);
size_t maxPeerConnections(size_t vmMemoryBytes, size_t maxDescriptors);
size_t maxObserverConnections(size_t vmMemoryBytes, size_t maxDescriptors);

/// Returns the limits for a sum of that many bytes, or of two of the largest requests if they are more; no limits if `maxBytes` is
/// zero.
RequestMemoryLimits makeLimitsOfSum(size_t maxBytes, size_t maxBodyBytes);

/// Returns the largest number of bytes of endpoints' responses that are buffered at a time. `vmMemoryBytes` is zero if it isn't
/// known.
size_t maxBufferedResponses(size_t vmMemoryBytes);

/// What the connections from one address hold.
struct AddressUse {
    std::string address;
    size_t bytes = 0;
    size_t connections = 0;
};

/// What one connection holds. Changed by the functions below only.
struct Holding {
    uint64_t number = 0;
    const void* server = nullptr; ///< Tells the servers of a process apart.
    AddressUse* address = nullptr;
    HoldingPhase phase = HoldingPhase::Idle;
    size_t bytes = 0;
    size_t wantedBytes = 0; ///< Bytes for which the connection waits; zero if it doesn't wait.
    TimePoint since {}; ///< When the request's first byte was read or, while it is idle or writes, when that began.
    TimePoint waitsSince {};
};

/// What all connections of a process hold. Used by one thread at a time.
struct RequestMemory {
    RequestMemoryLimits limits;
    std::unordered_map<uint64_t, Holding> holdings; ///< The key is the connection's number.
    std::unordered_map<std::string, AddressUse> addresses; ///< Holdings point to the values.
    size_t bytes = 0;
    size_t waiting = 0; ///< Connections that wait.
    uint64_t nextNumber = 1;
};

/// Adds an idle connection. The reference stays valid until the connection is removed.
Holding& addHolding(RequestMemory&, const std::string& address, const void* server, TimePoint now);
void removeHolding(RequestMemory&, uint64_t number);
/// Notes what a connection holds and for what; it no longer waits. The time in `since` restarts when it becomes idle, when a
/// request begins and when a response does.
void setHolding(RequestMemory&, Holding&, HoldingPhase, size_t bytes, TimePoint now);
/// Whether a connection may go on to hold that many bytes. One that stays small always may: room is made for it.
bool mayHold(const RequestMemory&, const Holding&, size_t bytes);
/// Notes that a connection waits until it may hold that many bytes. Precondition: `bytes` is not zero.
void waitToHold(RequestMemory&, Holding&, size_t bytes, TimePoint now);
/// Notes that a connection no longer waits, if it does.
void stopWaiting(RequestMemory&, Holding&);
/// Returns the connection that has waited longest of those that may go on, if any.
std::optional<uint64_t> nextToGoOn(const RequestMemory&);
/// Returns the connections that are to be given up so that the sum is kept and nobody waits for longer than maxPause: those that
/// hold most for longest first.
std::vector<uint64_t> chooseToGiveUp(const RequestMemory&, TimePoint now);
/// Returns the connection of a server that is closed for a new one: one without a request, or else one whose request has been read
/// for over a second; of these one from the address with the most connections, and of its own the one for longest so. Nothing if
/// there is none.
std::optional<uint64_t> chooseToClose(const RequestMemory&, const void* server, TimePoint now);

} // namespace bilberry
