/// Fault switches of a stand-in: one JSON object that `POST /fault` changes while it runs.
#pragma once

#include "Types.h"
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace bilberry::standin {

struct Switches {
    mutable std::mutex mutex;
    nlohmann::json values = nlohmann::json::object();
    /// Called with each accepted patch, outside the lock. Set before the server starts.
    std::function<void(const nlohmann::json& patch)> changed;
};

/// Merges a patch (RFC 7396) and gives the new values. Thread safe.
nlohmann::json mergeSwitches(Switches&, const nlohmann::json& patch);

/// The value of a switch, null when it is not set. Thread safe.
nlohmann::json rawSwitch(const Switches&, const std::string& name);

/// The value of a switch, or the fallback when it is not set. Throws on another type. Thread safe.
template <typename T>
T switchValue(const Switches& switches, const std::string& name, T fallback)
{
    const nlohmann::json value = rawSwitch(switches, name);
    return value.is_null() ? fallback : value.get<T>();
}

/// Whether a fault strikes now: `true` strikes always, a number N strikes the next N times. Thread safe.
bool takeFault(Switches&, const std::string& name);

/// A switch in milliseconds, fractions included. Thread safe.
Duration switchDuration(const Switches&, const std::string& name);

} // namespace bilberry::standin
