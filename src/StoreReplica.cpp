#include "StoreReplica.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

// Time for which tombstones of removed items are kept. An entry that was cut off for longer may miss removals until it
// lists the store again.
static constexpr std::chrono::minutes tombstoneLifetime { 2 };

bool StoreReplica::applyChange(const StoreChange& change, TimePoint now)
{
    auto found = this->rows.find(change.key);
    if (found != this->rows.end() && found->second.change.revision >= change.revision)
        return false;
    this->rows[change.key] = { change, now };
    this->revision = std::max(this->revision, change.revision);
    return true;
}

void StoreReplica::removeExpiredTombstones(TimePoint now)
{
    for (auto row = this->rows.begin(); row != this->rows.end();) {
        bool isExpired = row->second.change.isRemoved && now - row->second.appliedAt > tombstoneLifetime;
        row = isExpired ? this->rows.erase(row) : std::next(row);
    }
}

std::vector<StoreChange> changesAfter(const StoreReplica& replica, uint64_t revision)
{
    std::vector<StoreChange> changes;
    for (const auto& [key, row] : replica.rows) {
        if (row.change.revision > revision)
            changes.push_back(row.change);
    }
    std::sort(changes.begin(), changes.end(), [](const StoreChange& first, const StoreChange& second) { return first.revision < second.revision; });
    return changes;
}

std::string encodeStoreDelta(const StoreDelta& delta)
{
    json changes = json::array();
    for (const auto& change : delta.changes) {
        std::vector<uint8_t> value(change.value.begin(), change.value.end());
        changes.push_back(json::array({ change.key, change.revision, change.isRemoved, json::binary(std::move(value)) }));
    }
    auto bytes = json::to_msgpack(json::array({ delta.age.count(), delta.revision, changes }));
    return std::string(bytes.begin(), bytes.end());
}

static bool isEncodedChange(const json& row)
{
    return row.is_array() && row.size() == 4 && row[0].is_string() && row[1].is_number_unsigned() && row[2].is_boolean() && row[3].is_binary();
}

absl::StatusOr<StoreDelta> decodeStoreDelta(const std::string& bytes)
{
    auto root = json::from_msgpack(bytes, true, false);
    bool isTyped = root.is_array() && root.size() == 3 && root[0].is_number_integer() && root[1].is_number_unsigned() && root[2].is_array();
    if (!isTyped)
        return absl::InvalidArgumentError("not a store delta");
    StoreDelta delta;
    delta.age = Milliseconds(root[0].get<int64_t>());
    delta.revision = root[1].get<uint64_t>();
    for (const auto& row : root[2]) {
        if (!isEncodedChange(row))
            return absl::InvalidArgumentError("a change in the store delta has the wrong layout");
        const auto& value = row[3].get_binary();
        delta.changes.push_back({ row[0].get<std::string>(), row[2].get<bool>(), std::string(value.begin(), value.end()), row[1].get<uint64_t>() });
    }
    return delta;
}

} // namespace bilberry
