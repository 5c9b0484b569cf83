/// The unrepeatable requests of one endpoint: each key runs at most once, whoever re-sends it.
#pragma once

#include "HttpMessage.h"
#include "KeyLeaseAgent.h"
#include "KeyTable.h"

#include <functional>

namespace bilberry {

struct Node;

/// Asked right before a request is sent to the back end; on false it must not be sent.
using DispatchCheck = std::function<bool()>;
/// Checks, admits and runs a request. An answer with the outcome not-run means that it was not sent.
using KeyedRunner = std::function<HttpResponse(const DispatchCheck&)>;

/// Thread safe, but for start() and stop().
class KeyedRequests {
public:
    /// Precondition: the node outlives the object.
    explicit KeyedRequests(Node&);

    void start() { this->leases.start(); }
    void stop() { this->leases.stop(); }
    /// Periodic work: expiry of keys, gauges.
    void tick(TimePoint now);
    /// Handles a forwarded request that has a key.
    HttpResponse handle(const HttpRequest&, const KeyedRunner&);
    /// Answers an entry's question for a key's outcome, and fences the attempt when it was not sent.
    HttpResponse answerQuery(const HttpRequest&);
    /// Answers the JSON-RPC method `key_lease`.
    std::string answerLease(const std::string& parameters) { return this->leases.answer(parameters); }
    /// Answers the JSON-RPC method `key_hand_over`.
    std::string answerHandOver(const std::string& parameters) { return this->leases.answerHandOver(parameters); }

private:
    uint64_t findVouchedTenure(uint32_t slot, std::optional<WallTime> minted) const;
    HttpResponse run(const HttpRequest&, const KeyedAttempt&, const KeyedRunner&, TimePoint receivedAt);
    HttpResponse answerAgain(const HttpRequest&, const KeyedAnswer&);

    Node& node;
    KeyTable table;
    KeyLeaseAgent leases;
    TimePoint expireAt {};
};

} // namespace bilberry
