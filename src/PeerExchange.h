/// Exchanges state between entries by UDP datagrams: sends this entry's state to the others and receives theirs. Each entry
/// thereby knows how many requests the others have at an endpoint, so that a burst of requests at several entries
/// doesn't overload it.
#pragma once

#include "EventLoop.h"
#include "PeerMessage.h"
#include "PeerTable.h"

#include <absl/status/status.h>
#include <functional>
#include <memory>

namespace bilberry {

struct PeerExchangeSettings {
    std::string ip; ///< This entry's IP address.
    int port = 0; ///< The port of all entries.
    std::string dataCentre; ///< This entry's data centre; entries in it are sent messages more often than others.
    std::vector<std::string> seeds; ///< IP addresses of some entries, which may no longer exist.
};

/// Used by the loop's thread only.
class PeerExchange {
public:
    /// `fillMessage` fills in the entry's state, except for incarnation, sequence and peers. `onMessage` receives each new
    /// message of a peer, `onNotice` each notice that comes directly from an agent. Precondition: the loop outlives the
    /// exchange.
    PeerExchange(EventLoop&, const PeerExchangeSettings&, std::function<void(PeerMessage&)> fillMessage, std::function<void(const PeerMessage&)> onMessage, std::function<void(const EngineNotice&)> onNotice);
    ~PeerExchange();
    PeerExchange(const PeerExchange&) = delete;
    PeerExchange& operator=(const PeerExchange&) = delete;

    /// Opens the port and starts to receive. Returns Unavailable when the port can't be opened.
    absl::Status start();
    /// Sends the state when it is due. `hasChanged` tells whether the state has changed since it was last sent. Is to be
    /// called on each tick.
    void tick(bool hasChanged, TimePoint now);
    const PeerTable& table() const;
    /// Returns the number of bytes sent so far.
    uint64_t sentBytes() const;

private:
    struct State;

    void receive();
    static void handleDatagram(State&, const std::string& bytes);
    std::string encodeState(TimePoint now);
    void sendState(bool includesOtherDataCentres, TimePoint now);
    void send(const std::string& bytes, const std::string& ip);

    std::shared_ptr<State> state;
};

} // namespace bilberry
