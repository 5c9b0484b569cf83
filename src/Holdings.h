/// The chunks of a model's version that a process holds, as processes report them to one another.
#pragma once

#include "Types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

/// The response to `GET /holdings/<model>`, and the content of the holdings header of chunk transfers.
struct Holdings {
    std::string label; ///< Version tag that the version was published under.
    std::string digest; ///< Digest of the version's manifest.
    Milliseconds confirmedAge { 0 }; ///< Time since the weight store last returned this version for the tag.
    uint64_t receivedBytes = 0; ///< Chunk bytes received since the process started; a larger number marks a later report.
    std::vector<bool> chunks; ///< Whether each chunk is held, by position in the manifest.
};

/// The largest text of holdings that is read, in bytes.
constexpr size_t maxHoldingsBytes = 64 << 10;

/// Whether a report replaces the one known of the same process. Reports can arrive out of order; of two on one version, the
/// one with fewer received bytes is older. A restarted process counts from zero, so its reports are taken for older ones
/// until it is polled. Thread safe.
bool shouldReplaceHoldings(const Holdings& known, const Holdings& reported);

/// The holdings as JSON. Thread safe.
std::string toText(const Holdings&);

/// Returns nothing when the text is malformed or too long. Thread safe.
std::optional<Holdings> parseHoldings(std::string_view text);

} // namespace bilberry
