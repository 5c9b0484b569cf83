/// Settings of the daemon bilberryd, read once at start and not changed afterwards.
#pragma once

#include "Address.h"
#include "MessageAuthentication.h"
#include "Types.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace bilberry {

struct Settings {
    Role role = Role::Entry;
    std::string vm; ///< Name of the VM in the inventory.
    std::string dataCentre;
    Address listenAddress;
    std::string configurationServiceAddress; ///< IP:port of the platform's configuration service.
    std::vector<std::string> bootstrapPeers; ///< IP:port of processes to ask at start, before any configuration is known.
    AuthenticationKeys authenticationKeys; ///< Keys that sign and verify requests between the system's processes.
    int httpThreads = 256; ///< Limit of connections that are served at a time; each holds a thread.
    Milliseconds tickInterval { 100 };
    Milliseconds gossipInterval { 500 };
    Milliseconds connectTimeout { 500 };
    Milliseconds callTimeout { 2000 }; ///< Time limit of a control call.
    Milliseconds drainTimeout { 120'000 }; ///< Time for which a stopping process waits for requests in progress.
    uint64_t requestMemoryBytes = 0; ///< Limit of the bytes that callers' requests hold, at least two of the largest size; zero: no limit.
    uint64_t weightMemoryBytes = 0; ///< Limit of the weight chunks held in memory, in bytes.
};

/// Checks all settings; the error's message names every invalid one, one per line. `faults` holds the faults found while
/// the command line was read. Precondition: readCommandLine() has run. Not thread safe.
absl::StatusOr<Settings> makeSettings(const std::vector<std::string>& faults);

/// Returns the text of --help: each setting with its default value.
std::string describeSettings();

} // namespace bilberry
