/// The version of the platform's store that a state reflects. The store may come back from a copy that is some seconds old:
/// its era then rises by one, and it gives out revisions a second time. So revisions are comparable only within an era.
#pragma once

#include <cstdint>
#include <tuple>

namespace bilberry {

struct StoreVersion {
    uint64_t era = 0; ///< Zero while no answer has stated the era.
    uint64_t revision = 0;
};

/// Whether the first version is older: a lower era, or a lower revision of the same era. Thread safe.
inline bool operator<(const StoreVersion& first, const StoreVersion& second)
{
    return std::tie(first.era, first.revision) < std::tie(second.era, second.revision);
}

/// Thread safe.
inline bool operator==(const StoreVersion& first, const StoreVersion& second)
{
    return first.era == second.era && first.revision == second.revision;
}

} // namespace bilberry
