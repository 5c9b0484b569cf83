/// Work of the thread that spreads documents, bounded: one fetch and one announcement a document.
#pragma once

#include "PublishedState.h"

#include <array>
#include <condition_variable>
#include <mutex>
#include <string>

namespace bilberry {

/// A document that a peer holds.
struct DocumentFetchRequest {
    std::string peerAddress; ///< Of the peer; empty: nothing to fetch.
    DocumentVersion offered;
};

/// What is to be done for each document, by DocumentKind.
struct SpreadWork {
    std::array<DocumentFetchRequest, documentKindCount> fetches;
    std::array<bool, documentKindCount> announcements {};
};

/// Thread safe.
class SpreadQueue {
public:
    /// Asks for a fetch; a later request replaces an earlier one that has not begun, unless it offers a lower generation.
    void requestFetch(DocumentKind, const DocumentFetchRequest&);
    void requestAnnouncement(DocumentKind);
    /// Takes all work; waits up to `wait` for some.
    SpreadWork takeWork(Milliseconds wait);

private:
    std::mutex mutex;
    std::condition_variable changed;
    SpreadWork work;
    bool hasWork = false;
};

} // namespace bilberry
