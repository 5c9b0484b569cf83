#include "PeerChoice.h"

#include "Rendezvous.h"

#include <algorithm>

namespace bilberry {

// In a small fleet, a process exchanges with another data centre of its region once in this many rounds.
static constexpr uint64_t crossDataCentreInterval = 8;
// In a small fleet, a relay exchanges with another region once in this many rounds.
static constexpr uint64_t relayExchangeInterval = 2;
// In a large fleet, whose exchanges cover one data centre each, a process exchanges with another data centre once in this
// many rounds.
static constexpr uint64_t otherDataCentreInterval = 3;
// Suspect peers may also be chosen once in this many rounds.
static constexpr uint64_t suspectProbeInterval = 8;
// Number of peers of the own data centre to which a document is announced at once.
static constexpr size_t announceFanOut = 4;

namespace {
// The distance of a peer from the own VM.
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

// Returns the other VMs for which `isWanted` holds: the usable ones, or all of them when none is usable, as in a fleet
// that has just started or when they are on the other side of a network partition.
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
    auto isAtDistance = [&](RowIndex vm) { return distanceTo(inventory, own, vm) == distance; };
    return filterPeers(inventory, own, isAtDistance, isUsable);
}

static std::vector<RowIndex> peersInDataCentre(const Inventory& inventory, RowIndex own, RowIndex dataCentre, const IsUsable& isUsable)
{
    auto isInDataCentre = [&](RowIndex vm) { return inventory.vms[vm].dataCentre == dataCentre; };
    return filterPeers(inventory, own, isInDataCentre, isUsable);
}

// Adds up to `count` of the peers, chosen pseudo-randomly with equal probability by the seed.
static void addRandomPeers(std::vector<RowIndex>& chosen, std::vector<RowIndex> peers, uint64_t seed, size_t count)
{
    for (size_t i = 0; i < count && !peers.empty(); ++i) {
        size_t position = hashText("peer", seed + i) % peers.size();
        chosen.push_back(peers[position]);
        peers[position] = peers.back();
        peers.pop_back();
    }
}

// Moves the own VM's successor in the ring of peers from `peers` to `chosen`. Each VM of a ring is the successor of another
// one, so none is left out.
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

// Returns whether the own VM is a relay. Relays are chosen by the same score as watchers, so that a process that reads a
// document from the service announces it to other regions at once.
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

// Returns the other data centre to contact in this round. The other data centres are contacted by round robin, so that the
// cost does not grow with their number.
static RowIndex nextOtherDataCentre(const Inventory& inventory, RowIndex own, uint64_t shiftedRound)
{
    auto others = inventory.dataCentres.size() - 1;
    auto step = 1 + shiftedRound / otherDataCentreInterval % others;
    return static_cast<RowIndex>((inventory.vms[own].dataCentre + step) % inventory.dataCentres.size());
}

// The input to one process's choice of peers in one round.
namespace {
struct PeerRound {
    const Inventory& inventory;
    RowIndex own;
    uint64_t seed;
    uint64_t shiftedRound; ///< The round plus an offset per process, which desynchronizes a fleet that started at once.
    IsUsable isAllowed; ///< Whether a peer may be chosen in this round; some rounds also allow suspect peers.
};
} // namespace

// In every second round a relay exchanges with another region instead of its own data centre, so that reports reach the
// other regions within seconds.
static std::vector<RowIndex> choosePeersOfSmallFleet(const PeerRound& input, bool isRelay)
{
    std::vector<RowIndex> chosen;
    auto add = [&](Distance distance) { addRandomPeers(chosen, peersAtDistance(input.inventory, input.own, distance, input.isAllowed), input.seed, 1); };
    if (isRelay && input.shiftedRound % relayExchangeInterval == 1)
        add(Distance::OtherRegion);
    if (chosen.empty())
        add(Distance::SameDataCentre);
    if (chosen.empty() || input.shiftedRound % crossDataCentreInterval == 1)
        add(Distance::SameRegion);
    if (chosen.empty())
        add(Distance::OtherRegion);
    return chosen;
}

static std::vector<RowIndex> choosePeersOfLargeFleet(const PeerRound& input)
{
    std::vector<RowIndex> chosen;
    addRandomPeers(chosen, peersAtDistance(input.inventory, input.own, Distance::SameDataCentre, input.isAllowed), input.seed, 1);
    bool isOtherDataCentreTurn = input.shiftedRound % otherDataCentreInterval == 0 || chosen.empty();
    if (isOtherDataCentreTurn && input.inventory.dataCentres.size() > 1)
        addRandomPeers(chosen, peersInDataCentre(input.inventory, input.own, nextOtherDataCentre(input.inventory, input.own, input.shiftedRound), input.isAllowed), input.seed, 1);
    return chosen;
}

std::vector<RowIndex> choosePeers(const Inventory& inventory, RowIndex own, uint64_t round, const IsUsable& isUsable)
{
    uint64_t shiftedRound = round + hashText(inventory.vms[own].name);
    IsUsable isAllowed = shiftedRound % suspectProbeInterval == 0 ? IsUsable([](RowIndex) { return true; }) : isUsable;
    PeerRound input { inventory, own, hashText(inventory.vms[own].name, round), shiftedRound, std::move(isAllowed) };
    if (coversOneDataCentre(inventory))
        return choosePeersOfLargeFleet(input);
    return choosePeersOfSmallFleet(input, isRelay(inventory, own, isUsable));
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
