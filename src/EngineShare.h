/// Divides the slots of model engines among the entries that send to them. Entries learn of each other's requests late, so that
/// several of them would take the same free slot. Each engine therefore has one home entry among those of its data centre, which
/// may fill the engine; the others are guests, which leave it a reserve and tell of a request before they send the next one. All
/// entries that hear the same others decide the same, without a message. If each entry has at most one message to the others
/// under way, all of them together send at most two requests per guest beyond the limit, and next to none in a steady load.
#pragma once

#include "Types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bilberry {

struct EndpointTable;

/// Position of an entry that isn't in the engine's data centre, or hasn't yet determined its position.
constexpr uint32_t remotePosition = UINT32_MAX;

/// The part that this entry has in one engine.
struct EngineShare {
    /// Place of this entry in the engine's order of the entries of its data centre: zero is the home entry.
    uint32_t position = remotePosition;
    TimePoint homeSince {}; ///< Since when this entry is the home; only set if it is.
    uint32_t guestCount = 0; ///< Number of other entries of the engine's data centre that are heard.
    bool isTakenOver = false; ///< Whether the engine's home would be an entry that isn't heard and may be alive.
    TimePoint roomSince = TimePoint::max(); ///< Since when the engine has had room for several requests; the maximum if it hasn't.
    uint32_t toldInFlight = 0; ///< Own requests at the engine that the other entries have last been told of.
};

/// What decides whether an entry may send one more request to an engine.
struct EngineUse {
    double limit = 0; ///< Requests that the engine may have at a time.
    double load = 0; ///< Requests of all entries there as far as known, the new one not included.
    uint32_t inFlight = 0; ///< This entry's requests there.
    bool isLoadStated = false; ///< Whether the engine itself has stated its load lately.
    TimePoint now {};
};

/// Returns whether the entry may send one more request, as far as the others' parts are concerned. The home entry uses the whole
/// limit, but of the last slots it takes one and tells of it before it takes the next. A guest always tells first, and leaves a
/// reserve that grows with its position, so that guests that see the same room don't all use it. A request that takes the place
/// of one that has ended and that the others still count needs no reserve. An entry that has just become the home is a guest until
/// the home of before has heard of it. Thread safe.
bool isWithinEngineShare(const EngineShare&, const EngineUse&);

/// Records whether the engine has room, from its estimated load. Used by the loop's thread.
void noteRoom(EngineShare&, double limit, double load, TimePoint now);

/// The place of an entry in the order of one engine.
struct EnginePosition {
    uint32_t position = remotePosition;
    std::string homeEntry;
};

/// Returns the positions of `ownIp` for each of the engines. The numbers of engines that the entries are home to differ by one
/// at most; apart from that, the order is that of rendezvous hashing. `entries` has the own address and those of the others, in
/// any order. Thread safe.
std::vector<EnginePosition> engineOrder(const std::string& ownIp, const std::vector<std::string>& entries, const std::vector<std::string>& engineIds);

/// From what the parts of the engines were last determined.
struct EngineShareBasis {
    std::vector<std::string> heardEntries; ///< Recently heard entries of the data centre.
    std::vector<std::string> silentEntries; ///< Entries of the data centre that aren't heard and may be alive.
    uint64_t engines = 0; ///< Hash of the set of engines of the data centre.
    bool isDetermined = false;
};

/// Number of engines by the part that an entry has in them.
struct EngineShareCounts {
    uint32_t home = 0;
    uint32_t takenOver = 0; ///< Those among them that an entry which isn't heard may be home to as well.
    uint32_t guest = 0;
};

/// Determines the parts in all engines of `dataCentre` again if the entries or the engines differ from those of the basis.
/// Returns whether they did. The lists are sorted. To be used by the loop's thread only.
bool updateEngineShares(EngineShareBasis&, EndpointTable&, const std::string& ownIp, const std::string& dataCentre, const std::vector<std::string>& heardEntries, const std::vector<std::string>& silentEntries, TimePoint now);

/// Thread safe.
EngineShareCounts countEngineShares(const EndpointTable&);

/// Records that the other entries have been told of all own requests, or that there is none to tell. Used by the loop's thread.
void noteLoadsTold(EndpointTable&);

/// Returns the name of a part for metrics: "home", "guest" or "remote". Thread safe.
const char* toText(const EngineShare&);

} // namespace bilberry
