/// Rendezvous (highest random weight) hashing: a choice on which all processes with the same list agree, and which
/// moves only the choices of a member that goes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

/// Hash of a text; equal on all machines. Thread safe.
uint64_t hashText(std::string_view text, uint64_t seed = 0);

/// Score of a member for a key. Thread safe.
uint64_t rendezvousScore(std::string_view key, std::string_view member);

/// The members by falling score for the key, at most `count` of them. Thread safe.
std::vector<std::string> rankMembers(std::string_view key, const std::vector<std::string>& members, size_t count);

} // namespace bilberry
