#include "StandInCounters.h"
#include <algorithm>

namespace bilberry::standin {

namespace {

void add(nlohmann::json& object, const std::string& key, int64_t amount)
{
    object[key] = object.value(key, int64_t { 0 }) + amount;
}

} // namespace

void declareCounts(Counters& counters, const std::vector<std::string>& names)
{
    const std::lock_guard lock(counters.mutex);
    for (const std::string& name : names)
        counters.values[name] = 0;
}

void addCount(Counters& counters, const std::string& name, int64_t amount)
{
    const std::lock_guard lock(counters.mutex);
    add(counters.values, name, amount);
}

void addGroupCount(Counters& counters, const std::string& group, const std::string& key, int64_t amount)
{
    const std::lock_guard lock(counters.mutex);
    nlohmann::json& values = counters.values[group];
    if (values.is_null())
        values = nlohmann::json::object();
    if (values.size() < maximumGroupKeys || values.contains(key))
        add(values, key, amount);
}

void moveRunning(Counters& counters, int change)
{
    const std::lock_guard lock(counters.mutex);
    add(counters.values, "running", change);
    const auto running = counters.values["running"].get<int64_t>();
    counters.values["max_running"] = std::max(running, counters.values.value("max_running", int64_t { 0 }));
}

nlohmann::json countsSnapshot(const Counters& counters)
{
    const std::lock_guard lock(counters.mutex);
    return counters.values;
}

} // namespace bilberry::standin
