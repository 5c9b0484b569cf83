#include "SimpleRequestPolicy.h"

#include <algorithm>
#include <gflags/gflags.h>

DEFINE_bool(simple_request_policy, false, "for measurements only: round robin, fixed retries, no admission limit");

namespace bilberry {

bool usesSimplePolicy()
{
    return FLAGS_simple_request_policy;
}

RowIndex chooseRoundRobin(const RoutingTable& table, const RoutingTarget& target, const std::vector<RowIndex>& excluded, uint64_t turn)
{
    std::vector<RowIndex> candidates;
    for (const auto& group : table.groups) {
        if (group.service != target.service || group.model != target.model)
            continue;
        for (const auto& positions : group.rows) {
            for (uint32_t position : positions)
                candidates.push_back(table.rows[position].vm);
        }
    }
    auto isTried = [&](RowIndex vm) { return std::find(excluded.begin(), excluded.end(), vm) != excluded.end(); };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isTried), candidates.end());
    return candidates.empty() ? noRow : candidates[turn % candidates.size()];
}

} // namespace bilberry
