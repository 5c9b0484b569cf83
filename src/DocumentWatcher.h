/// Reads and watches the platform's configuration service.
#pragma once

#include "PublishedState.h"

#include <string>

namespace bilberry {

struct Node;

/// Whether this process holds a watch: a few of each data centre do, chosen by rendezvous among those heard lately;
/// so does every process that has no configuration. Thread safe.
bool isWatcher(const Node&);

/// Makes one blocking read of the document and adopts a higher generation. Returns whether the service answered.
bool watchDocument(Node&, DocumentKind, Milliseconds wait);

} // namespace bilberry
