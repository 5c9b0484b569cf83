#include "PeerChoice.h"

#include "Rendezvous.h"

#include <algorithm>

namespace bilberry {

// Rounds between exchanges with another data centre of the region, of a process that is no relay.
static constexpr uint64_t crossInterval = 8;
// Rounds between exchanges of a relay with another region.
static constexpr uint64_t relayInterval = 16;
// The same in a fleet whose digest covers all, where such an exchange costs no more than any other.
static constexpr uint64_t smallFleetRelayInterval = 2;
// Rounds between those that also try suspect peers.
static constexpr uint64_t probeInterval = 8;
// Peers of the own data centre that are told of a document at once.
static constexpr size_t announceFanOut = 4;

namespace {
// Where a peer is, seen from the own VM.
enum class Distance : uint8_t { SameDataCentre,
    SameRegion,
    OtherRegion };
} // namespace

static Distance distanceTo(const Inventory& inventory, RowIndex own, RowIndex vm)
{
    RowIndex ownDataCentre = inventory.vms[own].dataCentre;
    RowIndex dataCentre = inventory.vms[vm].dataCentre;
    if (ownDataCentre == dataCentre)
        return Distance::SameDataCentre;
    return inSameRegion(inventory, ownDataCentre, dataCentre) ? Distance::SameRegion : Distance::OtherRegion;
}

// The usable ones; all when none is, as in a fleet that has just started or on the far side of a partition.
static std::vector<RowIndex> peersAt(const Inventory& inventory, RowIndex own, Distance distance, const IsUsable& isUsable)
{
    std::vector<RowIndex> all;
    std::vector<RowIndex> usable;
    for (RowIndex vm = 0; vm < inventory.vms.size(); ++vm) {
        if (vm == own || distanceTo(inventory, own, vm) != distance)
            continue;
        all.push_back(vm);
        if (isUsable(vm))
            usable.push_back(vm);
    }
    return usable.empty() ? all : usable;
}

// Adds `count` of the peers, chosen evenly by the seed.
static void addSome(std::vector<RowIndex>& chosen, std::vector<RowIndex> peers, uint64_t seed, size_t count)
{
    for (size_t i = 0; i < count && !peers.empty(); ++i) {
        size_t position = hashText("peer", seed + i) % peers.size();
        chosen.push_back(peers[position]);
        peers[position] = peers.back();
        peers.pop_back();
    }
}

static bool isRelay(const Inventory& inventory, RowIndex own, const IsUsable& isUsable)
{
    auto members = peersAt(inventory, own, Distance::SameDataCentre, isUsable);
    uint64_t ownScore = rendezvousScore("relay", inventory.vms[own].name);
    auto ahead = std::count_if(members.begin(), members.end(), [&](RowIndex vm) {
        return rendezvousScore("relay", inventory.vms[vm].name) > ownScore;
    });
    return static_cast<size_t>(ahead) < relaysPerDataCentre;
}

bool coversOneDataCentre(const Inventory& inventory, RowIndex ownDataCentre, RowIndex peerDataCentre)
{
    return ownDataCentre == peerDataCentre && inventory.vms.size() > maxWholeExchange;
}

std::vector<RowIndex> choosePeers(const Inventory& inventory, RowIndex own, uint64_t round, const IsUsable& isUsable)
{
    uint64_t seed = hashText(inventory.vms[own].name, round);
    // Each process has its own turn, so that those of a fleet that started at once are spread out.
    uint64_t turn = round + hashText(inventory.vms[own].name);
    IsUsable isAllowed = turn % probeInterval == 0 ? IsUsable([](RowIndex) { return true; }) : isUsable;
    std::vector<RowIndex> chosen;
    // In a small fleet a relay goes to another region in place of its own data centre, so that a report crosses within seconds.
    bool isSmall = inventory.vms.size() <= maxWholeExchange;
    if (isSmall && turn % smallFleetRelayInterval == 1 && isRelay(inventory, own, isUsable))
        addSome(chosen, peersAt(inventory, own, Distance::OtherRegion, isAllowed), seed, 1);
    if (chosen.empty())
        addSome(chosen, peersAt(inventory, own, Distance::SameDataCentre, isAllowed), seed, 1);
    // A relay goes to another region in every second of its turns, in place of its own, so that it costs no more bytes.
    bool isRelayTurn = !isSmall && turn % relayInterval == 1 && isRelay(inventory, own, isUsable);
    bool isRegionTurn = turn % crossInterval == 1 && !isRelayTurn;
    if (chosen.empty() || isRegionTurn)
        addSome(chosen, peersAt(inventory, own, Distance::SameRegion, isAllowed), seed, 1);
    if (chosen.empty() || isRelayTurn)
        addSome(chosen, peersAt(inventory, own, Distance::OtherRegion, isAllowed), seed, 1);
    return chosen;
}

std::vector<RowIndex> chooseAnnouncePeers(const Inventory& inventory, RowIndex own, uint64_t seed, const IsUsable& isUsable)
{
    std::vector<RowIndex> chosen;
    addSome(chosen, peersAt(inventory, own, Distance::SameDataCentre, isUsable), seed, announceFanOut);
    addSome(chosen, peersAt(inventory, own, Distance::SameRegion, isUsable), seed, 1);
    if (isRelay(inventory, own, isUsable))
        addSome(chosen, peersAt(inventory, own, Distance::OtherRegion, isUsable), seed, 1);
    return chosen;
}

std::vector<std::string> chooseWatchers(const std::vector<WatchCandidate>& candidates)
{
    std::vector<std::string> names;
    names.reserve(candidates.size());
    for (const auto& candidate : candidates)
        names.push_back(candidate.vm);
    auto ranked = rankMembers("watch", names, maxWatcherCandidates);
    std::vector<std::string> watchers;
    for (const auto& name : ranked) {
        auto found = std::find_if(candidates.begin(), candidates.end(), [&](const auto& candidate) { return candidate.vm == name; });
        if (!found->lacksService && watchers.size() < watchersPerDataCentre)
            watchers.push_back(name);
    }
    return watchers.empty() ? ranked : watchers;
}

} // namespace bilberry
