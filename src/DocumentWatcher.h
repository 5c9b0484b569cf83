/// Reads and watches the platform's configuration service. Only a few processes of each data centre hold a watch, so that
/// the load on the service does not grow with the fleet.
#pragma once

#include "Backoff.h"
#include "PublishedState.h"

#include <string>

namespace bilberry {

struct Node;

/// The result of one read.
enum class ReadResult : uint8_t {
    Answered, ///< The service returned a document that was adopted or is already held.
    Absent, ///< The service answered that it has no such document.
    Unusable, ///< The service returned a document that is faulty, outdated or must be read again before it is adopted.
    Failed, ///< The service did not answer or returned an error.
};

/// The state of one watching thread.
struct WatchState {
    Backoff backoff { Milliseconds(500), Milliseconds(4000), 0 };
    TimePoint failedAt {}; ///< When the last failed read started.
};

/// Reads the document once and adopts it if its generation is higher. When a document is held already, the read is a long
/// poll that blocks up to `wait` for a change. Thread safe.
ReadResult readDocument(Node&, DocumentKind, Milliseconds wait);

/// Does one step of watching a document: checks whether this process is a watcher and, if so, reads the document. Returns
/// the delay before the next step. Must be called by a single thread per document.
Milliseconds runWatchStep(Node&, DocumentKind, WatchState&);

} // namespace bilberry
