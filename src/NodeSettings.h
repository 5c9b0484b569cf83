/// Settings of bilberrynode, read from flags, a flag file and the environment. The part in ReloadableSettings can change
/// while the process runs, so that operators can adjust limits under load without a restart.
#pragma once

#include "Address.h"
#include "EndpointChoice.h"
#include "Flags.h"
#include "HedgePolicy.h"
#include "RetryWindow.h"
#include "Types.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <vector>

namespace bilberry {

enum class NodeRole : uint8_t {
    Entry, ///< Takes callers' requests.
    Agent, ///< Delivers model weights to the engine on its VM.
};

/// Settings that a reload may change.
struct ReloadableSettings {
    Milliseconds drainTime { 2000 }; ///< Time for which a leaving endpoint still serves requests.
    Milliseconds stopGracePeriod { 8000 }; ///< Time from the request to stop to the forced exit.
    Milliseconds maxRevocationDelay { 5000 }; ///< Time after which a revoked key must no longer be accepted.
    bool failsClosed = true; ///< Whether requests with a key are refused while revocations can't be known.
    RetryWindowLimits retryLimits;
    HedgeLimits hedgeLimits; ///< Off by default.
    double coldRateFactor = 1; ///< Multiple of a cold endpoint's rate that all entries together may send it in one second.
    double coldRateAllowance = 0; ///< Requests allowed in one second beyond coldRateFactor, for all entries together.
    Milliseconds maxVersionSwitchTime { 0 }; ///< Time in which all engines switch to a newly named version; zero: no limit.
    Milliseconds recoveryGracePeriod { 3000 }; ///< Time after a disturbance in which the time limits above don't hold yet.
};

struct NodeSettings {
    NodeRole role = NodeRole::Entry;
    std::string vm;
    NodeLocation location;
    Address listenAddress; ///< Address on which an entry accepts callers' requests; unused by agents.
    Address readinessListenAddress; ///< Address for the load balancer's readiness checks; unused by agents.
    std::optional<Address> metricsListenAddress; ///< Address that serves metrics; absent when metrics aren't served.
    std::string ownIp; ///< IP address at which other processes reach this one.
    int peerPort = 0; ///< Port that all processes of a deployment use for the exchange with peers; zero: no exchange.
    std::vector<Address> seedAddresses; ///< Addresses of entries to contact first; some of them may no longer exist.
    Address storeAddress; ///< Address of the platform's store; unused by agents.
    std::optional<Address> engineAddress; ///< Address of the engine; required for agents.
    std::string service; ///< Name of the service that the engine belongs to; required for agents.
    double linkMegabitsPerSecond = 0; ///< Rate of the VM's network link in Mbit/s; zero: not known.
    int maxFileDescriptors = 1024; ///< File descriptors that the process may use.
    size_t vmMemoryBytes = 0; ///< Memory of the VM, from which the limits on what callers hold are derived; zero: not known, no limits.
    int logLinesPerSecond = 200; ///< Limit of log lines per second; lines beyond it are only counted.
    ReloadableSettings reloadable;
};

/// Reads flags, and the flag file named by --flagfile if there is one. The error's message has one line per fault.
absl::StatusOr<NodeSettings> readNodeSettings(int argc, char** argv);
/// Reads the flag file again and returns the settings that may change. The error's message has one line per fault.
absl::StatusOr<ReloadableSettings> reloadSettings(const std::string& flagFile);
/// Returns the path of the flag file, or an empty string when none was given.
std::string flagFilePath();
/// Returns the text of --help: each setting with its default value.
std::string describeNodeSettings();

} // namespace bilberry
