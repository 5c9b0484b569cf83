/// What all parts of one process share.
#pragma once

#include "FleetTable.h"
#include "HttpClient.h"
#include "MessageAuthentication.h"
#include "Metrics.h"
#include "PauseGuard.h"
#include "PublishedState.h"
#include "Settings.h"
#include "SpreadQueue.h"

#include <atomic>
#include <string>

namespace bilberry {

/// The IP number that this process's own connections come from: the one it listens on, unless that is a wildcard.
std::string outgoingAddress(const Settings&);

/// Lives as long as the process; every member is thread safe.
struct Node {
    explicit Node(const Settings&);

    const Settings settings;
    Metrics metrics;
    HttpClientPool clients;
    PublishedState publishedState;
    FleetTable fleet;
    SpreadQueue spreadQueue;
    PauseGuard pauseGuard;
    std::atomic<bool> isLeaving { false }; ///< Set by SIGTERM; never cleared.
    std::atomic<bool> lacksService { false }; ///< This process watches the configuration service and can't read it.
    std::atomic<uint64_t> incarnation { 0 };
    std::atomic<uint64_t> statusSequence { 0 };
};

/// This VM's row of the inventory, or noRow. Thread safe.
RowIndex findOwnVm(const Node&, const Configuration&);

/// Whether new work may be taken: false right after a pause of the process, until it has heard a peer or the service
/// again, for at most rereadLimit. Thread safe.
bool mayAcceptWork(const Node&);

/// Offers a document to the published state; counts the result, logs a change and has it announced. Thread safe.
AdoptionResult adoptDocument(Node&, DocumentKind, Generation, const std::string& text, DocumentSource);

} // namespace bilberry
