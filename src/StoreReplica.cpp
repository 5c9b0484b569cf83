#include "StoreReplica.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace bilberry {

using nlohmann::json;

// Time for which tombstones of removed items are kept. An entry that was cut off for longer is told all items.
static constexpr std::chrono::minutes tombstoneLifetime { 2 };

bool StoreReplica::isNewer(const StoreChange& change) const
{
    auto found = this->rows.find(change.key);
    return found == this->rows.end() || versionOf(found->second.change) < versionOf(change);
}

void StoreReplica::put(const StoreChange& change, TimePoint now)
{
    this->rows[change.key] = { change, now };
}

void StoreReplica::noteVersion(const StoreVersion& known)
{
    this->version = std::max(this->version, known);
}

// Whether the newest value of the key holds in any era, and is never removed.
static bool holdsInAnyEra(const std::string& key, std::string_view configurationKey, std::string_view versionPrefix)
{
    return key == configurationKey || std::string_view(key).substr(0, versionPrefix.size()) == versionPrefix;
}

void StoreReplica::beginListing(uint64_t era)
{
    // One of an earlier era tells nothing of what is in force.
    this->isComplete = this->isComplete || era >= this->version.era;
}

std::vector<StoreChange> StoreReplica::removeUnlisted(const std::vector<StoreChange>& listing, const StoreVersion& listed, std::string_view configurationKey, std::string_view versionPrefix, TimePoint now)
{
    std::set<std::string_view> keys;
    for (const auto& item : listing)
        keys.insert(item.key);
    auto inForce = listing;
    for (auto& [key, row] : this->rows) {
        if (row.change.isRemoved || keys.count(key) != 0 || holdsInAnyEra(key, configurationKey, versionPrefix))
            continue;
        // The listing of several pages may lack what was changed after its first page.
        if (!(versionOf(row.change) < listed))
            inForce.push_back(row.change);
        else if (row.change.era == listed.era)
            row = { { key, true, {}, listed.revision, listed.era }, now };
    }
    // What was written and removed since the former version isn't known.
    this->historyFrom = this->historyFrom ? std::max(*this->historyFrom, listed) : listed;
    this->noteVersion(listed);
    return inForce;
}

void StoreReplica::removeEarlierEras(std::string_view configurationKey, std::string_view versionPrefix)
{
    for (auto row = this->rows.begin(); row != this->rows.end();) {
        const auto& change = row->second.change;
        bool isToRemove = change.era < this->version.era && !holdsInAnyEra(change.key, configurationKey, versionPrefix);
        row = isToRemove ? this->rows.erase(row) : std::next(row);
    }
}

StoreVersion versionOf(const StoreChange& change)
{
    return { change.era, change.revision };
}

void StoreReplica::removeExpiredTombstones(TimePoint now)
{
    for (auto row = this->rows.begin(); row != this->rows.end();) {
        bool isExpired = row->second.change.isRemoved && now - row->second.appliedAt > tombstoneLifetime;
        if (isExpired && this->historyFrom)
            this->historyFrom = std::max(*this->historyFrom, versionOf(row->second.change));
        row = isExpired ? this->rows.erase(row) : std::next(row);
    }
}

std::vector<StoreChange> changesAfter(const StoreReplica& replica, const StoreVersion& version)
{
    std::vector<StoreChange> changes;
    for (const auto& [key, row] : replica.rows) {
        bool isHeld = row.change.era < replica.version.era;
        if (isHeld || version.era > replica.version.era || version < versionOf(row.change))
            changes.push_back(row.change);
    }
    std::sort(changes.begin(), changes.end(), [](const StoreChange& first, const StoreChange& second) { return versionOf(first) < versionOf(second); });
    return changes;
}

std::optional<ToldChanges> changesToTell(const StoreReplica& replica, const StoreVersion& version)
{
    bool hasHistory = replica.historyFrom && !(version < *replica.historyFrom);
    // An entry of another era takes all changes of the later one for a listing, see adoptDelta().
    if (hasHistory || version.era != replica.version.era)
        return ToldChanges { changesAfter(replica, version), false };
    if (!replica.isComplete)
        return std::nullopt;
    return ToldChanges { changesAfter(replica, {}), true };
}

std::string encodeStoreDelta(const StoreDelta& delta)
{
    json changes = json::array();
    for (const auto& change : delta.changes) {
        std::vector<uint8_t> value(change.value.begin(), change.value.end());
        changes.push_back(json::array({ change.key, change.revision, change.isRemoved, json::binary(std::move(value)), change.era }));
    }
    json namings = json::array();
    for (const auto& naming : delta.namings)
        namings.push_back(json::array({ naming.model, naming.version, naming.knownFor.count() }));
    auto fields = json::array({ delta.age.count(), delta.version.revision, changes, delta.version.era, delta.holdTimeLeft.count(), namings, delta.isComplete });
    auto bytes = json::to_msgpack(fields);
    return std::string(bytes.begin(), bytes.end());
}

static bool isEncodedChange(const json& row)
{
    return row.is_array() && row.size() == 5 && row[0].is_string() && row[1].is_number_unsigned() && row[2].is_boolean() && row[3].is_binary() && row[4].is_number_unsigned();
}

static bool isEncodedNaming(const json& row)
{
    bool isTyped = row.is_array() && row.size() == 3 && row[0].is_string() && row[1].is_number_unsigned() && row[2].is_number_unsigned();
    return isTyped && row[1].get<uint64_t>() <= UINT32_MAX && row[2].get<uint64_t>() <= static_cast<uint64_t>(maxToldNamingAge.count());
}

absl::StatusOr<StoreDelta> decodeStoreDelta(const std::string& bytes)
{
    auto root = json::from_msgpack(bytes, true, false);
    bool isTyped = root.is_array() && root.size() == 7 && root[0].is_number_integer() && root[1].is_number_unsigned() && root[2].is_array() && root[3].is_number_unsigned() && root[4].is_number_integer() && root[5].is_array() && root[6].is_boolean();
    if (!isTyped)
        return absl::InvalidArgumentError("not a store delta");
    StoreDelta delta;
    delta.age = Milliseconds(root[0].get<int64_t>());
    delta.version = { root[3].get<uint64_t>(), root[1].get<uint64_t>() };
    delta.holdTimeLeft = Milliseconds(root[4].get<int64_t>());
    delta.isComplete = root[6].get<bool>();
    for (const auto& row : root[2]) {
        if (!isEncodedChange(row))
            return absl::InvalidArgumentError("a change in the store delta has the wrong layout");
        const auto& value = row[3].get_binary();
        delta.changes.push_back({ row[0].get<std::string>(), row[2].get<bool>(), std::string(value.begin(), value.end()), row[1].get<uint64_t>(), row[4].get<uint64_t>() });
    }
    for (const auto& row : root[5]) {
        if (!isEncodedNaming(row))
            return absl::InvalidArgumentError("a naming in the store delta has the wrong layout");
        delta.namings.push_back({ row[0].get<std::string>(), row[1].get<uint32_t>(), Milliseconds(row[2].get<int64_t>()) });
    }
    return delta;
}

} // namespace bilberry
