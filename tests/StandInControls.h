/// What scripts set and read of a stand-in while it runs: fault switches, which `POST /fault` changes, and counters, which
/// `GET /counts` gives.
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
    nlohmann::json counts = nlohmann::json::object(); ///< Those set before the server starts are listed before their first event.
    /// Called with each accepted patch of the switches, outside the lock. Set before the server starts.
    std::function<void(const nlohmann::json& patch)> onSwitchesChanged;
};

/// Merges a patch of the switches (RFC 7396) and gives their new values. Thread safe.
nlohmann::json mergeSwitches(Controls&, const nlohmann::json& patch);

/// The value of a switch, null when it is not set. Thread safe.
nlohmann::json rawSwitch(const Controls&, const std::string& name);

/// The value of a switch, or the fallback when it is not set. Throws on another type. Thread safe.
template <typename T>
T switchValue(const Controls& controls, const std::string& name, T fallback)
{
    const nlohmann::json value = rawSwitch(controls, name);
    return value.is_null() ? fallback : value.get<T>();
}

/// Whether a fault strikes now: `true` strikes always, a number N strikes the next N times. Thread safe.
bool consumeFault(Controls&, const std::string& name);

/// A switch in milliseconds, fractions included. Thread safe.
Duration switchDuration(const Controls&, const std::string& name);

/// Adds to a counter. Thread safe.
void addCount(Controls&, const std::string& name, int64_t amount = 1);

/// Counts a key of a group of counters. Thread safe.
void addGroupCount(Controls&, const std::string& group, const std::string& key);

/// A copy of all counters. Thread safe.
nlohmann::json countsSnapshot(const Controls&);

} // namespace bilberry::standin
