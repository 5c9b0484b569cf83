/// What callers make a server with threads hold: the decisions of RequestMemory behind a lock, applied to sockets.
#pragma once

#include "RequestMemory.h"

#include <condition_variable>
#include <mutex>
#include <unordered_map>

namespace bilberry {

/// All methods are thread safe.
class ServedConnections {
public:
    explicit ServedConnections(const RequestMemoryLimits&);

    /// Adds a connection, which the calling thread serves, and returns its number.
    uint64_t add(int socket, const std::string& address);
    /// Removes a connection. Its socket has to be open until then.
    void remove(uint64_t number);
    /// Notes what a connection holds, and for what.
    void setHeld(uint64_t number, HoldingPhase, size_t bytes);
    /// Blocks until a connection may hold that many bytes for the body that it reads. Returns false if it is given up instead.
    bool waitToHoldBody(uint64_t number, size_t bytes);
    /// Whether the connection was given up, so that its request is to be refused and the connection closed.
    bool isGivenUp(uint64_t number) const;
    /// Gives up a connection so that its thread serves a new one, if there is one that may go; see chooseToClose().
    void makeRoom();

private:
    struct Served {
        int socket = -1;
        bool isGivenUp = false;
    };

    void giveUp(uint64_t number);

    mutable std::mutex mutex;
    std::condition_variable changed;
    RequestMemory memory;
    std::unordered_map<uint64_t, Served> connections; ///< The key is the connection's number.
};

} // namespace bilberry
