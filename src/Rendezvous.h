/// Rendezvous (highest random weight) hashing. All processes with the same list of members make the same choice for a key, and
/// when a member leaves, only the keys that it was chosen for move to other members.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

/// Returns the hash (XXH3) of a text, which is equal on all machines. Thread safe.
uint64_t hashText(std::string_view text, uint64_t seed = 0);

/// Returns the score of a member for a key. Thread safe.
uint64_t rendezvousScore(std::string_view key, std::string_view member);

/// Returns the `count` members with the highest scores for the key, or all when there are fewer, in descending order of score.
/// Thread safe.
std::vector<std::string> rankMembers(std::string_view key, const std::vector<std::string>& members, size_t count);

} // namespace bilberry
