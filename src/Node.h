/// What all parts of one process share.
#pragma once

#include "FleetTable.h"
#include "HttpClient.h"
#include "Metrics.h"
#include "PublishedState.h"
#include "Settings.h"

#include <atomic>
#include <string>

namespace bilberry {

/// The IP number that this process's own connections come from: the one it listens on, unless that is a wildcard.
std::string outgoingAddress(const Settings&);

/// Lives as long as the process; every member is thread safe.
struct Node {
    explicit Node(const Settings& ownSettings)
        : settings(ownSettings)
        , clients(outgoingAddress(ownSettings))
    {
    }

    const Settings settings;
    Metrics metrics;
    HttpClientPool clients;
    PublishedState published;
    FleetTable fleet;
    std::atomic<bool> isLeaving { false }; ///< Set by SIGTERM; never cleared.
    std::atomic<uint64_t> incarnation { 0 };
    std::atomic<uint64_t> statusSequence { 0 };
};

/// This VM's row of the inventory, or noRow. Thread safe.
RowIndex findOwnVm(const Node&, const Configuration&);

/// Offers a document to the published state; counts the result and logs a change. Thread safe.
Adoption adoptDocument(Node&, DocumentKind, Generation, const std::string& text, const std::string& source);

} // namespace bilberry
