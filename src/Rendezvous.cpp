#include "Rendezvous.h"

#include <algorithm>
#include <xxhash.h>

namespace bilberry {

uint64_t hashText(std::string_view text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t rendezvousScore(std::string_view key, std::string_view member)
{
    return hashText(member, hashText(key));
}

std::vector<std::string> rankMembers(std::string_view key, const std::vector<std::string>& members, size_t count)
{
    std::vector<std::pair<uint64_t, const std::string*>> scored;
    scored.reserve(members.size());
    for (const auto& member : members)
        scored.emplace_back(rendezvousScore(key, member), &member);
    count = std::min(count, scored.size());
    auto isHigher = [](const auto& first, const auto& second) {
        return first.first != second.first ? first.first > second.first : *first.second < *second.second;
    };
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end(), isHigher);
    std::vector<std::string> ranked;
    for (size_t i = 0; i < count; ++i)
        ranked.push_back(*scored[i].second);
    return ranked;
}

} // namespace bilberry
