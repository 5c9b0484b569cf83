/// Exchanges state between entries by UDP datagrams: sends this entry's state to the others and receives theirs. Each entry
/// thereby knows how many requests the others have at an endpoint, so that a burst of requests at several entries
/// doesn't overload it.
#pragma once

#include "DemandReport.h"
#include "EndpointEvents.h"
#include "EventLoop.h"
#include "PeerMessage.h"
#include "PeerSchedule.h"
#include "PeerTable.h"

#include <absl/status/status.h>
#include <functional>
#include <memory>

namespace bilberry {

struct PeerExchangeSettings {
    std::string ip; ///< This entry's IP address.
    int port = 0; ///< The port of all entries.
    std::string dataCentre; ///< This entry's data centre.
    std::vector<std::string> seeds; ///< IP addresses of some entries, which may no longer exist.
};

/// What the exchange calls. All members must be set.
struct PeerExchangeHandlers {
    /// Fills in the entry's state for a message of the given scope, except for incarnation, sequence, peers and digests.
    std::function<void(PeerMessage&, PeerMessageScope)> fillMessage;
    /// Returns the events about endpoints that go along with the messages of the given scope.
    std::function<EndpointEvents(PeerMessageScope)> takeEndpointEvents;
    /// Returns the report on demand that goes along with the messages of the given scope.
    std::function<DemandReport(PeerMessageScope)> takeDemandReport;
    std::function<void(const PeerMessage&)> onMessage; ///< Receives each new message of a peer.
    std::function<void(const EndpointEvents&)> onEndpointEvents; ///< Receives the events about endpoints of a peer.
    std::function<void(const std::string& ip, const DemandReport&)> onDemandReport; ///< Receives each report of a peer with its address.
    std::function<void(const EngineNotice&)> onNotice; ///< Receives each notice that comes directly from an agent.
};

/// Used by the loop's thread only.
class PeerExchange {
public:
    /// Precondition: the loop outlives the exchange.
    PeerExchange(EventLoop&, const PeerExchangeSettings&, PeerExchangeHandlers);
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
    void handleDatagram(const std::string& bytes);
    void introduceEntries(const std::string& ip, const std::string& dataCentre, TimePoint now);
    PeerMessage composeMessage(PeerMessageScope, TimePoint now);
    void sendMessages(const std::vector<PeerSend>&, PeerMessageScope, TimePoint now);
    void send(const std::string& bytes, const std::string& ip);

    std::shared_ptr<State> state;
};

} // namespace bilberry
