#include "StandInControls.h"

namespace bilberry::standin {

using nlohmann::json;

json mergeSwitches(Controls& controls, const json& patch)
{
    json values;
    {
        const std::lock_guard lock(controls.mutex);
        controls.switches.merge_patch(patch);
        values = controls.switches;
    }
    if (controls.onSwitchesChanged)
        controls.onSwitchesChanged(patch);
    return values;
}

json rawSwitch(const Controls& controls, const std::string& name)
{
    const std::lock_guard lock(controls.mutex);
    const auto found = controls.switches.find(name);
    return found == controls.switches.end() ? json() : *found;
}

bool consumeFault(Controls& controls, const std::string& name)
{
    const std::lock_guard lock(controls.mutex);
    const auto found = controls.switches.find(name);
    if (found == controls.switches.end())
        return false;
    if (found->is_boolean())
        return found->get<bool>();
    const int64_t remaining = found->is_number() ? found->get<int64_t>() : 0;
    if (remaining > 0)
        *found = remaining - 1;
    return remaining > 0;
}

Duration switchDuration(const Controls& controls, const std::string& name)
{
    const std::chrono::duration<double, std::milli> milliseconds(switchValue(controls, name, 0.0));
    return std::chrono::duration_cast<Duration>(milliseconds);
}

static void addToCounter(json& object, const std::string& key, int64_t amount)
{
    object[key] = object.value(key, int64_t { 0 }) + amount;
}

void addCount(Controls& controls, const std::string& name, int64_t amount)
{
    const std::lock_guard lock(controls.mutex);
    addToCounter(controls.counts, name, amount);
}

void addGroupCount(Controls& controls, const std::string& group, const std::string& key)
{
    const std::lock_guard lock(controls.mutex);
    if (!controls.counts.contains(group))
        controls.counts[group] = json::object();
    addToCounter(controls.counts[group], key, 1);
}

json countsSnapshot(const Controls& controls)
{
    const std::lock_guard lock(controls.mutex);
    return controls.counts;
}

} // namespace bilberry::standin
