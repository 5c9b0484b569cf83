#include "PeerExchange.h"

#include "BootClock.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/udp.hpp>

namespace asio = boost::asio;

namespace bilberry {

struct PeerExchange::State {
    State(EventLoop& loop, const PeerExchangeSettings& settings)
        : settings(settings)
        , socket(loop)
    {
        this->table.ownIp = settings.ip;
        this->table.ownDataCentre = settings.dataCentre;
        this->schedule.seeds = settings.seeds;
        this->schedule.startedAt = Clock::now();
    }

    PeerExchangeSettings settings;
    asio::ip::udp::socket socket;
    PeerExchangeHandlers handlers;
    PeerTable table;
    PeerSchedule schedule;
    std::array<char, maxPeerMessageBytes> buffer {};
    asio::ip::udp::endpoint sender;
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    uint64_t sentBytes = 0;
};

PeerExchange::PeerExchange(EventLoop& loop, const PeerExchangeSettings& settings, PeerExchangeHandlers handlers)
    : state(std::make_shared<State>(loop, settings))
{
    this->state->handlers = std::move(handlers);
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
void PeerExchange::handleDatagram(const std::string& bytes)
{
    auto& state = *this->state;
    if (auto notice = decodeNotice(bytes); notice.ok()) {
        state.handlers.onNotice(*notice);
        return;
    }
    if (auto events = decodeEndpointEvents(bytes); events.ok()) {
        state.handlers.onEndpointEvents(*events);
        return;
    }
    auto now = Clock::now();
    auto ip = state.sender.address().to_string();
    if (auto report = decodeDemandReport(bytes); report.ok()) {
        state.handlers.onDemandReport(ip, *report);
        return;
    }
    auto message = decodePeerMessage(bytes);
    if (!message.ok() || !state.table.applyMessage(ip, *message, now))
        return;
    state.handlers.onMessage(*message);
    if (message->wantsPeers)
        this->introduceEntries(ip, message->dataCentre, now);
}

// Answers an entry that asks for a list of entries.
void PeerExchange::introduceEntries(const std::string& ip, const std::string& dataCentre, TimePoint now)
{
    auto message = this->composeMessage(PeerMessageScope::Introduction, now);
    message.wantsPeers = false;
    message.peers = peersForNewEntry(this->state->table, dataCentre, now);
    // The events go first: the new entry takes requests once it has the message.
    auto events = this->state->handlers.takeEndpointEvents(PeerMessageScope::Introduction);
    if (!isEmpty(events))
        this->send(encodeEndpointEvents(events), ip);
    this->send(encodePeerMessage(message), ip);
}

void PeerExchange::receive()
{
    auto& state = *this->state;
    state.socket.async_receive_from(asio::buffer(state.buffer), state.sender, [this, shared = this->state](const boost::system::error_code& error, size_t count) {
        if (error == asio::error::operation_aborted || !shared->socket.is_open())
            return;
        if (!error)
            this->handleDatagram(std::string(shared->buffer.data(), count));
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

PeerMessage PeerExchange::composeMessage(PeerMessageScope scope, TimePoint now)
{
    auto& state = *this->state;
    PeerMessage message;
    message.incarnation = state.incarnation;
    message.sequence = ++state.sequence;
    state.handlers.fillMessage(message, scope);
    addPeerState(message, scope, state.schedule, state.table, now);
    return message;
}

// Encodes a message. If it is too large for a datagram, refusals and notices are left out first, then the digests and loads.
static std::string encodeWithinLimit(PeerMessage message)
{
    auto bytes = encodePeerMessage(message);
    if (bytes.size() > maxPeerMessageBytes) {
        message.refusals.clear();
        message.notices.clear();
        bytes = encodePeerMessage(message);
    }
    if (bytes.size() > maxPeerMessageBytes) {
        message.loads.clear();
        message.digests.clear();
        bytes = encodePeerMessage(message);
    }
    return bytes;
}

// Sends one message of the scope to all entries in the list that get one.
void PeerExchange::sendMessages(const std::vector<PeerSend>& sends, PeerMessageScope scope, TimePoint now)
{
    auto& state = *this->state;
    bool isAnyDue = std::any_of(sends.begin(), sends.end(), [&](const PeerSend& due) { return due.scope == scope; });
    if (!isAnyDue)
        return;
    auto message = this->composeMessage(scope, now);
    auto bytes = encodeWithinLimit(message);
    auto messageOfPreviousRelease = message;
    messageOfPreviousRelease.layout = PeerMessageLayout::WithoutDigests;
    auto bytesOfPreviousRelease = encodeWithinLimit(std::move(messageOfPreviousRelease));
    auto events = state.handlers.takeEndpointEvents(scope);
    auto eventBytes = isEmpty(events) ? std::string() : encodeEndpointEvents(events);
    auto report = state.handlers.takeDemandReport(scope);
    auto reportBytes = isEmpty(report) ? std::string() : encodeDemandReport(report);
    size_t stateBytes = 0;
    for (const auto& due : sends) {
        if (due.scope != scope)
            continue;
        auto row = state.table.rows.find(due.ip);
        bool isPreviousRelease = row != state.table.rows.end() && row->second.layout == PeerMessageLayout::WithoutDigests;
        this->send(isPreviousRelease ? bytesOfPreviousRelease : bytes, due.ip);
        if (!eventBytes.empty())
            this->send(eventBytes, due.ip);
        if (!reportBytes.empty())
            this->send(reportBytes, due.ip);
        stateBytes += bytesOfPreviousRelease.size();
    }
    if (scope == PeerMessageScope::Near)
        limitRate(state.schedule, stateBytes, now);
}

void PeerExchange::tick(bool hasChanged, TimePoint now)
{
    auto& state = *this->state;
    state.table.removeSilentPeers(state.settings.seeds, now);
    auto sends = dueSends(state.schedule, state.table, hasChanged, now);
    for (auto scope : { PeerMessageScope::Near, PeerMessageScope::Remote, PeerMessageScope::Introduction })
        this->sendMessages(sends, scope, now);
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
