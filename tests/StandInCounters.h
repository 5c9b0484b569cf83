/// Counters of a stand-in, as `GET /counts` gives them.
#pragma once

#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bilberry::standin {

struct Counters {
    mutable std::mutex mutex;
    nlohmann::json values = nlohmann::json::object();
};

/// Sets counters to zero, so that they are listed before their first event. Thread safe.
void declareCounts(Counters&, const std::vector<std::string>& names);

/// Adds to a counter. Thread safe.
void addCount(Counters&, const std::string& name, int64_t amount = 1);

/// Adds to a counter of a group; new keys are ignored once the group has maximumGroupKeys. Thread safe.
void addGroupCount(Counters&, const std::string& group, const std::string& key, int64_t amount = 1);
constexpr size_t maximumGroupKeys = 100'000;

/// Moves the gauge `running` and keeps its highest value in `max_running`. Thread safe.
void moveRunning(Counters&, int change);

/// A copy of all counters. Thread safe.
nlohmann::json countsSnapshot(const Counters&);

} // namespace bilberry::standin
