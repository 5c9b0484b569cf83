/// Items and changes as the platform's store returns them, before their values are parsed.
#pragma once

#include "Types.h"

#include <string>
#include <vector>

namespace bilberry {

/// One item of the store, or the removal of one.
struct StoreChange {
    std::string key;
    bool isRemoved = false;
    std::string value; ///< The bytes that were written.
    uint64_t revision = 0; ///< The store's revision of this change.
    uint64_t era = 0; ///< The store's era when it returned this change; zero if it wasn't stated.
};

/// One page of a listing of the store.
struct StorePage {
    std::vector<StoreChange> items; ///< Those that could be read.
    std::string lastKey; ///< The key of the last item that has one, readable or not; empty if none has.
    bool hasMore = false; ///< Whether more items follow after the last key.
    uint64_t revision = 0; ///< The store's revision when it made the page.
    std::vector<std::string> faults; ///< One for each item that couldn't be read.
};

/// The answer to one watch call.
struct StoreChangeBatch {
    std::vector<StoreChange> changes; ///< In the order in which they were made in the store.
    uint64_t revision = 0; ///< The revision from which the next watch call continues.
    std::vector<std::string> faults; ///< One for each change that couldn't be read.
};

} // namespace bilberry
