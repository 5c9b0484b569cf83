/// The daemon's settings, read once at start and not changed after.
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
    std::vector<std::string> bootstrapPeers; ///< IP:port of processes to ask first, before any configuration is known.
    AuthenticationKeys authenticationKeys; ///< Of requests between the system's processes.
    int httpThreads = 256; ///< Connections served at a time.
    Milliseconds tickInterval { 100 };
    Milliseconds gossipInterval { 500 };
    Milliseconds connectTimeout { 500 };
    Milliseconds callTimeout { 2000 }; ///< Of control calls.
    Milliseconds drainTimeout { 120'000 }; ///< How long a stopping process waits for requests in progress.
    uint64_t weightMemoryBytes = 0; ///< Bound of the chunks held in memory.
};

/// Checks all settings; the error's message names every wrong one, a line each. Precondition: readCommandLine() ran.
/// `faults` are the ones found while reading. Not thread safe.
absl::StatusOr<Settings> makeSettings(const std::vector<std::string>& faults);

/// Text of --help: each setting with its default.
std::string describeSettings();

} // namespace bilberry
