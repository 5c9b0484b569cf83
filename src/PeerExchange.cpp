#include "PeerExchange.h"

#include "BootClock.h"

#include <array>
#include <boost/asio/ip/udp.hpp>

namespace asio = boost::asio;

namespace bilberry {

// Shortest and longest time between two messages; the longest one applies to messages to the entries of all data centres.
static constexpr Milliseconds shortestInterval { 40 };
static constexpr Milliseconds longestInterval { 400 };
// Bytes per second that one entry sends to all others together; with many entries messages are sent less often.
static constexpr double maxBytesPerSecond = 20'000;
// Largest number of peers that one message lists, and the time between two messages that list peers.
static constexpr size_t maxPeersPerMessage = 8;
static constexpr Milliseconds peerListInterval { 1000 };
// Entries of other data centres mostly use other endpoints, so only one in this many messages is sent to them.
static constexpr uint64_t remoteMessagePeriod = 3;

struct PeerExchange::State {
    State(EventLoop& loop, const PeerExchangeSettings& settings)
        : settings(settings)
        , socket(loop)
    {
        this->table.ownIp = settings.ip;
    }

    PeerExchangeSettings settings;
    asio::ip::udp::socket socket;
    std::function<void(PeerMessage&)> fillMessage;
    std::function<void(const PeerMessage&)> onMessage;
    std::function<void(const EngineNotice&)> onNotice;
    PeerTable table;
    std::array<char, maxPeerMessageBytes> buffer {};
    asio::ip::udp::endpoint sender;
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    uint64_t sentBytes = 0;
    uint64_t changeSendCount = 0; ///< Number of sends that were caused by a change, while no message to all entries was due.
    TimePoint sentAt {};
    TimePoint sentToAllAt {}; ///< When the state was last sent to the entries of all data centres.
    TimePoint peerListSentAt {};
    TimePoint nextSendAt {};
};

PeerExchange::PeerExchange(EventLoop& loop, const PeerExchangeSettings& settings, std::function<void(PeerMessage&)> fillMessage, std::function<void(const PeerMessage&)> onMessage, std::function<void(const EngineNotice&)> onNotice)
    : state(std::make_shared<State>(loop, settings))
{
    this->state->fillMessage = std::move(fillMessage);
    this->state->onMessage = std::move(onMessage);
    this->state->onNotice = std::move(onNotice);
    this->state->incarnation = static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now().time_since_epoch()).count());
    for (const auto& seed : settings.seeds)
        this->state->table.add(seed);
}

PeerExchange::~PeerExchange()
{
    boost::system::error_code ignored;
    this->state->socket.close(ignored);
}

absl::Status PeerExchange::start()
{
    boost::system::error_code error;
    asio::ip::udp::endpoint local(asio::ip::make_address(this->state->settings.ip, error), static_cast<uint16_t>(this->state->settings.port));
    if (!error)
        this->state->socket.open(local.protocol(), error);
    if (!error)
        this->state->socket.bind(local, error);
    if (!error)
        this->state->socket.non_blocking(true, error);
    if (error)
        return absl::UnavailableError("could not open the peer port: " + error.message());
    this->receive();
    return absl::OkStatus();
}

// Handles a notice from an agent or a message from a peer; other bytes are dropped.
void PeerExchange::handleDatagram(State& state, const std::string& bytes)
{
    if (auto notice = decodeNotice(bytes); notice.ok()) {
        state.onNotice(*notice);
        return;
    }
    auto message = decodePeerMessage(bytes);
    if (message.ok() && state.table.applyMessage(state.sender.address().to_string(), *message, Clock::now()))
        state.onMessage(*message);
}

void PeerExchange::receive()
{
    auto& state = *this->state;
    state.socket.async_receive_from(asio::buffer(state.buffer), state.sender, [this, shared = this->state](const boost::system::error_code& error, size_t count) {
        if (error == asio::error::operation_aborted || !shared->socket.is_open())
            return;
        if (!error)
            handleDatagram(*shared, std::string(shared->buffer.data(), count));
        this->receive();
    });
}

void PeerExchange::send(const std::string& bytes, const std::string& ip)
{
    boost::system::error_code error;
    asio::ip::udp::endpoint remote(asio::ip::make_address(ip, error), static_cast<uint16_t>(this->state->settings.port));
    // A datagram that can't be sent immediately is dropped; the next message contains the state again.
    if (!error)
        this->state->socket.send_to(asio::buffer(bytes), remote, 0, error);
    if (!error)
        this->state->sentBytes += bytes.size();
}

// Encodes this entry's state. If it is too large for a datagram, refusals and notices are left out first, then the loads.
std::string PeerExchange::encodeState(TimePoint now)
{
    auto& state = *this->state;
    PeerMessage message;
    message.incarnation = state.incarnation;
    message.sequence = ++state.sequence;
    state.fillMessage(message);
    if (now - state.peerListSentAt >= peerListInterval) {
        state.peerListSentAt = now;
        message.peers = recentlyHeardPeers(state.table, maxPeersPerMessage, now);
    }
    auto bytes = encodePeerMessage(message);
    if (bytes.size() > maxPeerMessageBytes) {
        message.refusals.clear();
        message.notices.clear();
        bytes = encodePeerMessage(message);
    }
    if (bytes.size() > maxPeerMessageBytes) {
        message.loads.clear();
        bytes = encodePeerMessage(message);
    }
    return bytes;
}

void PeerExchange::sendState(bool includesOtherDataCentres, TimePoint now)
{
    auto& state = *this->state;
    auto bytes = this->encodeState(now);
    size_t receivers = 0;
    for (const auto& [ip, row] : state.table.rows) {
        bool isNear = row.dataCentre == state.settings.dataCentre;
        if (!includesOtherDataCentres && !isNear)
            continue;
        this->send(bytes, ip);
        ++receivers;
    }
    state.sentAt = now;
    if (includesOtherDataCentres)
        state.sentToAllAt = now;
    double sendingSeconds = static_cast<double>(bytes.size() * receivers) / maxBytesPerSecond;
    state.nextSendAt = now + std::max(shortestInterval, std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(sendingSeconds)));
}

void PeerExchange::tick(bool hasChanged, TimePoint now)
{
    auto& state = *this->state;
    state.table.removeSilentPeers(state.settings.seeds, now);
    if (now < state.nextSendAt)
        return;
    bool isAllDue = now - state.sentToAllAt >= longestInterval;
    if (!hasChanged && !isAllDue)
        return;
    this->sendState(isAllDue || state.changeSendCount++ % remoteMessagePeriod == 0, now);
}

const PeerTable& PeerExchange::table() const
{
    return this->state->table;
}

uint64_t PeerExchange::sentBytes() const
{
    return this->state->sentBytes;
}

} // namespace bilberry
