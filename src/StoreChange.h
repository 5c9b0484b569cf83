/// What the platform's store tells, before it is understood.
#pragma once

#include "Types.h"

#include <string>
#include <vector>

namespace bilberry {

/// An item as it was written, or its removal.
struct StoreChange {
    std::string key;
    bool isRemoved = false;
    std::string value; ///< As it was written.
    uint64_t revision = 0; ///< Of the change.
};

/// One page of a listing.
struct StorePage {
    std::vector<StoreChange> items;
    bool hasMore = false; ///< Further items follow after the last key.
    uint64_t revision = 0; ///< Of the store when the page was made.
};

/// An answer to a watch.
struct StoreChangeBatch {
    std::vector<StoreChange> changes; ///< In the order in which they were made.
    uint64_t revision = 0; ///< To go on from.
};

} // namespace bilberry
