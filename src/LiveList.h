/// The platform's lagging list of live VMs.
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
    std::unordered_map<std::string, LiveState> vms; ///< By name; an absent VM is not live.
};

/// Shared between threads; never changed once made.
using LiveListPointer = std::shared_ptr<const LiveList>;

/// Parses the published list; the error has the path, the value and the reason. Thread safe.
absl::StatusOr<LiveList> parseLiveList(std::string_view text, Generation);

} // namespace bilberry
