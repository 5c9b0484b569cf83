#include "PeerChoice.h"

#include "Rendezvous.h"

#include <algorithm>

namespace bilberry {

// Rounds between exchanges with another data centre of the region, of a process that is no relay.
static constexpr uint64_t crossDataCentreInterval = 8;
// Rounds between exchanges of a relay with another region, in a fleet whose exchanges cover all of it.
static constexpr uint64_t relayExchangeInterval = 2;
// Rounds between exchanges with another data centre in a fleet whose exchanges cover one data centre each.
static constexpr uint64_t otherDataCentreInterval = 3;
// Rounds between those that also try suspect peers.
static constexpr uint64_t suspectProbeInterval = 8;
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

// The usable ones among the others; all when none is, as in a fleet that has just started or on the far side of a
// partition.
template <typename IsWanted>
static std::vector<RowIndex> filterPeers(const Inventory& inventory, RowIndex own, const IsWanted& isWanted, const IsUsable& isUsable)
{
    std::vector<RowIndex> all;
    std::vector<RowIndex> usable;
    for (RowIndex vm = 0; vm < inventory.vms.size(); ++vm) {
        if (vm == own || !isWanted(vm))
            continue;
        all.push_back(vm);
        if (isUsable(vm))
            usable.push_back(vm);
    }
    return usable.empty() ? all : usable;
}

static std::vector<RowIndex> peersAtDistance(const Inventory& inventory, RowIndex own, Distance distance, const IsUsable& isUsable)
{
    auto isThere = [&](RowIndex vm) { return distanceTo(inventory, own, vm) == distance; };
    return filterPeers(inventory, own, isThere, isUsable);
}

static std::vector<RowIndex> peersInDataCentre(const Inventory& inventory, RowIndex own, RowIndex dataCentre, const IsUsable& isUsable)
{
    auto isThere = [&](RowIndex vm) { return inventory.vms[vm].dataCentre == dataCentre; };
    return filterPeers(inventory, own, isThere, isUsable);
}

// Adds `count` of the peers, chosen evenly by the seed.
static void addRandomPeers(std::vector<RowIndex>& chosen, std::vector<RowIndex> peers, uint64_t seed, size_t count)
{
    for (size_t i = 0; i < count && !peers.empty(); ++i) {
        size_t position = hashText("peer", seed + i) % peers.size();
        chosen.push_back(peers[position]);
        peers[position] = peers.back();
        peers.pop_back();
    }
}

// Moves the next peer after the own VM, in a ring of them all, to the chosen ones: everybody is somebody's successor.
static void addSuccessor(std::vector<RowIndex>& chosen, std::vector<RowIndex>& peers, RowIndex own)
{
    if (peers.empty())
        return;
    auto next = std::upper_bound(peers.begin(), peers.end(), own);
    if (next == peers.end())
        next = peers.begin();
    chosen.push_back(*next);
    peers.erase(next);
}

// By the score that chooses watchers, so that who reads a document tells other regions of it at once.
static bool isRelay(const Inventory& inventory, RowIndex own, const IsUsable& isUsable)
{
    auto members = peersAtDistance(inventory, own, Distance::SameDataCentre, isUsable);
    uint64_t ownScore = rendezvousScore("watch", inventory.vms[own].name);
    auto ahead = std::count_if(members.begin(), members.end(), [&](RowIndex vm) {
        return rendezvousScore("watch", inventory.vms[vm].name) > ownScore;
    });
    return static_cast<size_t>(ahead) < relaysPerDataCentre;
}

bool coversOneDataCentre(const Inventory& inventory)
{
    return inventory.vms.size() > maxFullExchangeVms;
}

// The data centre whose turn it is: each of the others in its turn, so that their number does not raise the cost.
static RowIndex nextOtherDataCentre(const Inventory& inventory, RowIndex own, uint64_t turn)
{
    auto others = inventory.dataCentres.size() - 1;
    auto step = 1 + turn / otherDataCentreInterval % others;
    return static_cast<RowIndex>((inventory.vms[own].dataCentre + step) % inventory.dataCentres.size());
}

// One process's choice in one round.
namespace {
struct PeerRound {
    const Inventory& inventory;
    RowIndex own;
    uint64_t seed;
    uint64_t shiftedRound; ///< The round, shifted for each process, so that those of a fleet that started at once are spread out.
    IsUsable isAllowed; ///< Suspect peers have their turn, too.
};
} // namespace

// In a small fleet all exchanges cost the same: relays go to another region in place of their own data centre every
// second round, so that reports cross within seconds.
static std::vector<RowIndex> choosePeersOfSmallFleet(const PeerRound& turn, bool isRelay)
{
    std::vector<RowIndex> chosen;
    auto add = [&](Distance distance) { addRandomPeers(chosen, peersAtDistance(turn.inventory, turn.own, distance, turn.isAllowed), turn.seed, 1); };
    if (isRelay && turn.shiftedRound % relayExchangeInterval == 1)
        add(Distance::OtherRegion);
    if (chosen.empty())
        add(Distance::SameDataCentre);
    if (chosen.empty() || turn.shiftedRound % crossDataCentreInterval == 1)
        add(Distance::SameRegion);
    if (chosen.empty())
        add(Distance::OtherRegion);
    return chosen;
}

static std::vector<RowIndex> choosePeersOfLargeFleet(const PeerRound& turn)
{
    std::vector<RowIndex> chosen;
    addRandomPeers(chosen, peersAtDistance(turn.inventory, turn.own, Distance::SameDataCentre, turn.isAllowed), turn.seed, 1);
    bool isForeignTurn = turn.shiftedRound % otherDataCentreInterval == 0 || chosen.empty();
    if (isForeignTurn && turn.inventory.dataCentres.size() > 1)
        addRandomPeers(chosen, peersInDataCentre(turn.inventory, turn.own, nextOtherDataCentre(turn.inventory, turn.own, turn.shiftedRound), turn.isAllowed), turn.seed, 1);
    return chosen;
}

std::vector<RowIndex> choosePeers(const Inventory& inventory, RowIndex own, uint64_t round, const IsUsable& isUsable)
{
    uint64_t turn = round + hashText(inventory.vms[own].name);
    IsUsable isAllowed = turn % suspectProbeInterval == 0 ? IsUsable([](RowIndex) { return true; }) : isUsable;
    PeerRound ownTurn { inventory, own, hashText(inventory.vms[own].name, round), turn, std::move(isAllowed) };
    if (coversOneDataCentre(inventory))
        return choosePeersOfLargeFleet(ownTurn);
    return choosePeersOfSmallFleet(ownTurn, isRelay(inventory, own, isUsable));
}

std::vector<RowIndex> chooseAnnouncePeers(const Inventory& inventory, RowIndex own, uint64_t seed, const IsUsable& isUsable)
{
    std::vector<RowIndex> chosen;
    auto members = peersAtDistance(inventory, own, Distance::SameDataCentre, isUsable);
    addSuccessor(chosen, members, own);
    addRandomPeers(chosen, std::move(members), seed, announceFanOut - 1);
    addRandomPeers(chosen, peersAtDistance(inventory, own, Distance::SameRegion, isUsable), seed, 1);
    if (isRelay(inventory, own, isUsable))
        addRandomPeers(chosen, peersAtDistance(inventory, own, Distance::OtherRegion, isUsable), seed, 1);
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
