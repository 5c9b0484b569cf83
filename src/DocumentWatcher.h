/// Reads and watches the platform's configuration service.
#pragma once

#include "Backoff.h"
#include "PublishedState.h"

#include <string>

namespace bilberry {

struct Node;

/// What came of one read.
enum class ReadResult : uint8_t {
    Answered, ///< A document came, adopted or not.
    Absent, ///< The service answers and has no such document.
    Unusable, ///< It answered with what is no usable document: a fault, or one that must be read again.
    Failed, ///< No answer, or an error.
};

/// What one watching thread remembers.
struct WatchState {
    Backoff backoff { Milliseconds(500), Milliseconds(4000), 0 };
    TimePoint failedAt {}; ///< Of the last read that failed.
};

/// Makes one read of the document, which blocks up to `wait` for a change when one is held, and adopts a higher
/// generation. Thread safe.
ReadResult readDocument(Node&, DocumentKind, Milliseconds wait);

/// Does one step of watching a document: reads when this process holds a watch, and gives the wait before the next
/// step. Called by one thread a document.
Milliseconds runWatchStep(Node&, DocumentKind, WatchState&);

} // namespace bilberry
