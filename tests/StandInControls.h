/// Controls with which test scripts change and observe a running stand-in: fault switches, which `POST /fault` changes, and
/// counters, which `GET /counts` returns.
#pragma once

#include "Types.h"
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace bilberry::standin {

struct Controls {
    mutable std::mutex mutex;
    nlohmann::json switches = nlohmann::json::object();
    /// Counters that are set before the server starts are returned even before their first event.
    nlohmann::json counts = nlohmann::json::object();
    /// Is called with each accepted patch of the switches, without the lock held. Must be set before the server starts.
    std::function<void(const nlohmann::json& patch)> onSwitchesChanged;
};

/// Applies a JSON merge patch (RFC 7396) to the switches and returns their new values. Thread safe.
nlohmann::json mergeSwitches(Controls&, const nlohmann::json& patch);

/// Returns the value of a switch, or null if it is not set. Thread safe.
nlohmann::json rawSwitch(const Controls&, const std::string& name);

/// Returns the value of a switch, or the fallback if it is not set. Throws if the value has another type. Thread safe.
template <typename T>
T switchValue(const Controls& controls, const std::string& name, T fallback)
{
    const nlohmann::json value = rawSwitch(controls, name);
    return value.is_null() ? fallback : value.get<T>();
}

/// Returns whether a fault is to be injected now. The value `true` injects it each time; a number N injects it the next N
/// times and is decremented by each. Thread safe.
bool consumeFault(Controls&, const std::string& name);

/// Returns the duration that a switch states in milliseconds, which may be fractional. Thread safe.
Duration switchDuration(const Controls&, const std::string& name);

/// Adds to a counter. Thread safe.
void addCount(Controls&, const std::string& name, int64_t amount = 1);

/// Increments the counter of a key in a group of counters. Thread safe.
void addGroupCount(Controls&, const std::string& group, const std::string& key);

/// Returns a copy of all counters. Thread safe.
nlohmann::json countsSnapshot(const Controls&);

} // namespace bilberry::standin
