#include "StandInSwitches.h"

namespace bilberry::standin {

using nlohmann::json;

json mergeSwitches(Switches& switches, const json& patch)
{
    json values;
    {
        const std::lock_guard lock(switches.mutex);
        switches.values.merge_patch(patch);
        values = switches.values;
    }
    if (switches.changed)
        switches.changed(patch);
    return values;
}

json rawSwitch(const Switches& switches, const std::string& name)
{
    const std::lock_guard lock(switches.mutex);
    const auto found = switches.values.find(name);
    return found == switches.values.end() ? json() : *found;
}

bool takeFault(Switches& switches, const std::string& name)
{
    const std::lock_guard lock(switches.mutex);
    const auto found = switches.values.find(name);
    if (found == switches.values.end())
        return false;
    if (found->is_boolean())
        return found->get<bool>();
    const int64_t left = found->is_number() ? found->get<int64_t>() : 0;
    if (left > 0)
        *found = left - 1;
    return left > 0;
}

Duration switchDuration(const Switches& switches, const std::string& name)
{
    const std::chrono::duration<double, std::milli> milliseconds(switchValue(switches, name, 0.0));
    return std::chrono::duration_cast<Duration>(milliseconds);
}

} // namespace bilberry::standin
