/// The platform's list of live VMs, which lags behind the actual state.
#pragma once

#include "Types.h"

#include <absl/status/statusor.h>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bilberry {

enum class LiveState : uint8_t { Live,
    Leaving };

struct LiveList {
    Generation generation = 0;
    std::unordered_map<std::string, LiveState> vms; ///< The state of each VM by its name; a VM that is absent is not live.
};

/// A live list that threads share; it is not changed after it was made.
using LiveListPointer = std::shared_ptr<const LiveList>;

/// Parses the published list. The error lists all faults, one per line, each with its path, value and reason. Thread safe.
absl::StatusOr<LiveList> parseLiveList(std::string_view text, Generation);

} // namespace bilberry
