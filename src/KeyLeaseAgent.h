/// Asks for and grants the leases of key slots (KeyLease.h) over JSON-RPC.
#pragma once

#include "KeyHandOverMessage.h"
#include "KeyLease.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace bilberry {

struct Configuration;
struct Node;

/// One of an endpoint's process. Thread safe, but for start() and stop().
class KeyLeaseAgent {
public:
    /// Precondition: the node and the table of the slots' keys outlive the agent.
    KeyLeaseAgent(Node&, KeyTable&);
    ~KeyLeaseAgent();
    KeyLeaseAgent(const KeyLeaseAgent&) = delete;
    KeyLeaseAgent& operator=(const KeyLeaseAgent&) = delete;

    void start();
    void stop();
    /// The tenure in which this process holds the slot now. Precondition: the slot exists.
    std::optional<KeyTenure> tenure(uint32_t slot) const;
    /// Answers the JSON-RPC method `key_lease`; empty for a message that can't be read.
    std::string answer(const std::string& parameters);
    /// Answers the JSON-RPC method `key_hand_over`; empty for a message that can't be read.
    std::string answerHandOver(const std::string& parameters);
    /// Slots held now.
    uint32_t slotsHeld() const;

private:
    void waitForNextTick() const;
    void tick();
    void refreshOwners(const Configuration&, RowIndex own);
    std::vector<uint32_t> chooseSlots(const Configuration&, RowIndex own, TimePoint now) const;
    LeaseRequest makeRequest(const Configuration&, RowIndex own, const std::vector<uint32_t>& slots);
    std::vector<TenureRecord> endTenures(const std::vector<uint32_t>& slots);
    std::map<RowIndex, std::vector<SlotHandOver>> groupBySuccessor(const Configuration&, RowIndex own, std::vector<TenureRecord>) const;
    void handOver(const Configuration&, RowIndex own, std::vector<TenureRecord>);
    void sendHandOver(const Configuration&, RowIndex successor, std::vector<SlotHandOver>, TimePoint deadline);
    uint32_t takeHandOver(const HandOverMessage&);
    void applyReply(const std::string& voter, const LeaseReply&, TimePoint sentAt);
    LeaseReply grant(const LeaseRequest&);
    void askVoter(const std::string& address, const LeaseRequest&);

    Node& node;
    KeyTable& table;
    const TimePoint startedAt = Clock::now();
    std::thread thread;
    std::atomic<bool> isStopping { false };
    std::atomic<TimePoint> takenOverAt { TimePoint {} }; ///< Slots were handed to this process last.
    uint64_t sequence = 0; ///< Used by the agent's thread only, as are the three that follow.
    Generation ownersGeneration = 0;
    std::vector<std::vector<RowIndex>> owners; ///< By slot, the preferred one first.
    std::vector<uint32_t> wanted;
    mutable std::mutex mutex; ///< Guards what follows.
    LeaseHolder holder;
    LeaseVoter voter;
};

/// Whether another endpoint can hold slots, as far as is known here. Thread safe.
bool isAvailableOwner(const Node&, const std::string& vm, TimePoint now);

} // namespace bilberry
