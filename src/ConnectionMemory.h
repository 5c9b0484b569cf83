/// Applies the decisions of RequestMemory to the connections of a process's servers: it lets them wait and go on, and gives them up.
#pragma once

#include "EventLoop.h"
#include "RequestMemory.h"

#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace bilberry {

class ServerConnection;

/// Why a connection was closed or a request refused to bound what callers hold.
enum class CutOffCause : uint8_t {
    Memory, ///< The bytes that the requests hold reached their limit.
    Connections, ///< The connections reached their number; one without a request, or with one that is read for long, made room.
    NoRoom, ///< The connections reached their number, each with a request, so that the new one was closed.
    Trailers, ///< A trailer, or the header of a chunk, was longer than a header may be.
};
constexpr size_t cutOffCauseCount = 4;

/// Name of the cause for logs and metrics. Thread safe.
std::string_view toText(CutOffCause);

/// Called for each connection that is cut off, with the bytes that all connections held.
using CutOffHandler = std::function<void(CutOffCause, size_t heldBytes)>;

/// Used by the loop's thread only. Each connection is added by its constructor and removed by its destructor.
class ConnectionMemory : public std::enable_shared_from_this<ConnectionMemory> {
public:
    /// Precondition: the loop outlives the object.
    explicit ConnectionMemory(EventLoop&);

    /// Replaces the limits, at first none. What is held beyond new ones is given up soon.
    void setLimits(const RequestMemoryLimits&);
    void onCutOff(CutOffHandler);
    Holding& add(ServerConnection&, const std::string& address, const void* server);
    void remove(uint64_t number);

    /// See setHolding(). The connections that are to be given up are given up soon, not before this returns.
    void setHeld(Holding&, HoldingPhase, size_t bytes);
    /// Whether a connection may go on to hold that many bytes. If it returns false, the connection's resumeAfterWait() is called
    /// once it may, unless it is given up before.
    bool mayHold(Holding&, size_t bytes);
    /// Closes a connection of the server in favour of a new one, or refuses the request that is read on it; see chooseToClose().
    /// Returns false if there is none.
    bool makeRoomForConnection(const void* server);
    void noteCutOff(CutOffCause);

private:
    void scheduleRelief(Milliseconds);
    void relieve();

    EventLoop& loop;
    RequestMemory memory;
    std::unordered_map<uint64_t, ServerConnection*> connections; ///< The key is the connection's number.
    CutOffHandler handler;
    LoopTimer timer;
    bool isReliefScheduled = false;
    TimePoint relievedAt {};
};

} // namespace bilberry
