/// State and services that all parts of one bilberryd process share.
#pragma once

#include "FleetTable.h"
#include "HttpClient.h"
#include "MessageAuthentication.h"
#include "Metrics.h"
#include "PauseGuard.h"
#include "PropagationQueue.h"
#include "PublishedState.h"
#include "Settings.h"

#include <atomic>
#include <string>

namespace bilberry {

/// Returns the IP address that this process's outgoing connections are bound to: the one it listens on, or an empty
/// string when that is a wildcard address.
std::string outgoingAddress(const Settings&);

/// Shared state that exists as long as the process; every member is thread safe.
struct Node {
    explicit Node(const Settings&);

    const Settings settings;
    Metrics metrics;
    HttpClientPool clients;
    PublishedState publishedState;
    FleetTable fleet;
    PropagationQueue spreadQueue;
    PauseGuard pauseGuard;
    std::atomic<bool> isLeaving { false }; ///< Set when the process starts to stop; never cleared.
    std::atomic<bool> lacksService { false }; ///< Set while this process watches the configuration service and can't read it.
    std::atomic<uint64_t> incarnation { 0 }; ///< Start time of the process, in ms since the Unix epoch.
    std::atomic<uint64_t> statusSequence { 0 };
};

/// Returns the index of this VM's row in the inventory, or noRow. Thread safe.
RowIndex findOwnVm(const Node&, const Configuration&);

/// Whether the process may accept new work. It may not right after a pause, until a peer or the configuration service has
/// answered again, or until rereadTimeout has passed. Thread safe.
bool mayAcceptWork(const Node&);

/// Offers a document to the published state, counts the result, and logs and announces an adopted document. Thread safe.
AdoptionResult adoptDocument(Node&, DocumentKind, Generation, const std::string& text, DocumentSource);

} // namespace bilberry
