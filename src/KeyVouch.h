/// Which keys a process may speak for. Pure decisions on the time at which the caller made the key.
///
/// A process runs a key only when the key was made in its own tenure of the slot (KeyLease.h), and not in the future.
/// Tenures of a slot never overlap, so no two processes run one key; this holds also for a process that was paused
/// between its check and its action, since no later tenure takes a key that was made before it.
#pragma once

#include "Types.h"

#include <optional>
#include <string_view>

namespace bilberry {

/// How far a caller's clock may be ahead of ours.
constexpr Milliseconds maxMintAhead { 500 };
/// How far the wall clocks of two VMs may differ.
constexpr Milliseconds maxClockSkew { 500 };
/// How long a key can be used, and how long its outcome is remembered.
constexpr std::chrono::hours keyLifetime { 24 };

enum class MintFault : uint8_t {
    None,
    Missing, ///< None was given, or it is no time.
    Ahead, ///< It lies in the future.
    TooOld, ///< Its outcome may have been forgotten.
};

/// Reads Unix milliseconds; nothing when the text is no time. Thread safe.
std::optional<WallTime> parseMintTime(std::string_view text);

/// Whether a key with that mint time can be taken at all. Thread safe.
MintFault checkMint(std::optional<WallTime> minted, WallTime now);

/// Whether a process that has seen every key since `since` knows all about a key. Thread safe.
bool coversMint(WallTime since, WallTime minted);

} // namespace bilberry
