/// What one process tells another of a model's version and of the chunks that it holds.
#pragma once

#include "Types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

/// Answer to `GET /holdings/<model>`.
struct Holdings {
    std::string label; ///< That the version was published under.
    std::string digest; ///< Of the version's manifest.
    Milliseconds confirmedAge { 0 }; ///< Since the weight store last gave this version for the label.
    uint64_t receivedBytes = 0; ///< Chunk bytes received since the process started.
    std::vector<bool> chunks; ///< Held, by position in the manifest.
};

/// Largest such answer that is read, in bytes.
constexpr size_t maxHoldingsBytes = 64 << 10;

/// Whether what a process tells now replaces what is known of it: answers overtake one another, and one that was sent
/// before says less of the same version. A restarted process seems older until it is asked. Thread safe.
bool shouldReplaceHoldings(const Holdings& known, const Holdings& told);

/// Thread safe.
std::string toText(const Holdings&);

/// Nothing when the text is malformed. Thread safe.
std::optional<Holdings> parseHoldings(std::string_view text);

} // namespace bilberry
