/// Asks for and grants the leases of key slots (KeyLease.h) over JSON-RPC.
#pragma once

#include "KeyLease.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace bilberry {

class JsonRpcDispatcher;
struct Configuration;
struct Node;

/// One of an endpoint's process. Thread safe, but for start() and stop().
class KeyLeaseAgent {
public:
    /// Precondition: the node outlives the agent.
    explicit KeyLeaseAgent(Node&);
    ~KeyLeaseAgent();
    KeyLeaseAgent(const KeyLeaseAgent&) = delete;
    KeyLeaseAgent& operator=(const KeyLeaseAgent&) = delete;

    void start();
    void stop();
    /// The tenure in which this process holds the slot now. Precondition: the slot exists.
    std::optional<KeyTenure> tenure(uint32_t slot) const;
    /// Answers the JSON-RPC method `key_lease`; empty for a message that can't be read.
    std::string answer(const std::string& parameters);
    /// Slots held now.
    uint32_t slotsHeld() const;

private:
    void tick();
    void refreshOwners(const Configuration&, RowIndex own);
    std::vector<uint32_t> chooseSlots(const Configuration&, RowIndex own, TimePoint now) const;
    LeaseRequest makeRequest(const Configuration&, RowIndex own);
    LeaseReply grant(const LeaseRequest&);
    void askVoter(const std::string& address, const LeaseRequest&);

    Node& node;
    const TimePoint startedAt = Clock::now();
    std::thread thread;
    std::atomic<bool> isStopping { false };
    uint64_t sequence = 0; ///< Used by the agent's thread only, as are the two that follow.
    Generation ownersGeneration = 0;
    std::vector<std::vector<RowIndex>> owners; ///< By slot, the preferred one first.
    mutable std::mutex mutex; ///< Guards what follows.
    LeaseHolder holder;
    LeaseVoter voter;
    std::vector<uint32_t> wanted;
};

} // namespace bilberry
