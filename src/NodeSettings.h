/// Settings of a process on the event loop, from flags, a flag file and the environment.
#pragma once

#include "Address.h"
#include "EndpointChoice.h"
#include "Flags.h"
#include "RetryWindow.h"
#include "Types.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <vector>

namespace bilberry {

enum class NodeRole : uint8_t {
    Entry, ///< Takes callers' requests.
    Agent, ///< Brings weights to the engine on its VM.
};

/// Bounds that a reload may change.
struct ReloadableSettings {
    Milliseconds drainTime { 2000 }; ///< Time for which a leaving endpoint still serves.
    Milliseconds stopGracePeriod { 8000 }; ///< From the request to stop to the forced end.
    Milliseconds maxRevocationDelay { 5000 }; ///< A key that was taken away must not be used later than that.
    bool failsClosed = true; ///< Whether keyed requests are refused when revocations can't be known.
    RetryWindowLimits retryLimits;
    double coldRateFactor = 1; ///< Of the rate that a cold endpoint bears, in one second, for all entries together.
    double coldRateAllowance = 0; ///< Requests beyond that.
    Milliseconds maxVersionSwitchTime { 0 }; ///< In which all engines turn to newly named weights; zero: no bound.
    Milliseconds recoveryGracePeriod { 3000 }; ///< Time after a disturbance in which bounds don't hold yet.
};

struct NodeSettings {
    NodeRole role = NodeRole::Entry;
    std::string vm;
    NodeLocation location;
    Address listenAddress; ///< Callers; of entries.
    Address readinessListenAddress; ///< The balancer; of entries.
    std::optional<Address> metricsListenAddress;
    std::string ownIp; ///< Own address towards other processes.
    int peerPort = 0; ///< Of all processes of a deployment; zero: no exchange with peers.
    std::vector<Address> seedAddresses; ///< Some entries, perhaps gone.
    Address storeAddress; ///< Of entries.
    std::optional<Address> engineAddress; ///< Of agents.
    std::string service; ///< Of the engine.
    double linkMegabitsPerSecond = 0; ///< Of the VM's link, per second; zero: not known.
    int maxFileDescriptors = 1024;
    int logLinesPerSecond = 200;
    ReloadableSettings reloadable;
};

/// Reads flags and the flag file named by --flagfile, if any. Returns one line a fault.
absl::StatusOr<NodeSettings> readNodeSettings(int argc, char** argv);
/// Reads the flag file again; only bounds may change. Returns one line a fault.
absl::StatusOr<ReloadableSettings> reloadSettings(const std::string& flagFile);
/// Path of the flag file; empty when none was named.
std::string flagFilePath();
/// Help text.
std::string describeNodeSettings();

} // namespace bilberry
