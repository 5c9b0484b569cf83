/// Sends the own state to the other entries by datagrams, and takes in theirs.
#pragma once

#include "EventLoop.h"
#include "PeerMessage.h"
#include "PeerTable.h"

#include <absl/status/status.h>
#include <functional>
#include <memory>

namespace bilberry {

struct PeerExchangeSettings {
    std::string ip; ///< Own IP number.
    int port = 0; ///< Of all entries.
    std::string dataCentre; ///< Own one; entries there hear more often than others.
    std::vector<std::string> seeds; ///< IP numbers of some entries, perhaps gone.
};

/// Used by the loop's thread only.
class PeerExchange {
public:
    /// `describe` fills in what the entry tells, but for sender and peers; `onMessage` is told of each new message, `onNotice`
    /// of notices that come from agents themselves. Precondition: the loop outlives it.
    PeerExchange(EventLoop&, const PeerExchangeSettings&, std::function<void(PeerMessage&)> describe, std::function<void(const PeerMessage&)> onMessage, std::function<void(const EngineNotice&)> onNotice);
    ~PeerExchange();
    PeerExchange(const PeerExchange&) = delete;
    PeerExchange& operator=(const PeerExchange&) = delete;

    /// Opens the port. Fails when it can't be opened.
    absl::Status start();
    /// Sends the state when it is due. `hasChanged`: since the last time. To be called each tick.
    void tick(bool hasChanged, TimePoint now);
    const PeerTable& table() const;
    /// Bytes sent so far.
    uint64_t sentBytes() const;

private:
    struct State;

    void receive();
    static void handleDatagram(State&, const std::string& bytes);
    std::string encodeState(TimePoint now);
    void sendState(bool isForAll, TimePoint now);
    void send(const std::string& bytes, const std::string& ip);

    std::shared_ptr<State> state;
};

} // namespace bilberry
