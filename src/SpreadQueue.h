/// The work queue of the thread that distributes published documents among peers. It is bounded: it holds at most one
/// fetch and one announcement per document.
#pragma once

#include "PublishedState.h"

#include <array>
#include <condition_variable>
#include <mutex>
#include <string>

namespace bilberry {

/// A request to fetch the version of a document that a peer holds.
struct DocumentFetchRequest {
    std::string peerAddress; ///< Address of the peer; empty: nothing to fetch.
    DocumentVersion offered;
};

/// The pending work for each document, indexed by DocumentKind.
struct SpreadWork {
    std::array<DocumentFetchRequest, documentKindCount> fetches;
    std::array<bool, documentKindCount> announcements {};
};

/// Holds the pending work until the distributing thread takes it. Thread safe.
class SpreadQueue {
public:
    /// Queues a fetch. It replaces a pending one for the same document, unless it offers a lower generation.
    void requestFetch(DocumentKind, const DocumentFetchRequest&);
    void requestAnnouncement(DocumentKind);
    /// Takes all pending work; waits up to `wait` when there is none.
    SpreadWork takeWork(Milliseconds wait);

private:
    std::mutex mutex;
    std::condition_variable changed;
    SpreadWork work;
    bool hasWork = false;
};

} // namespace bilberry
