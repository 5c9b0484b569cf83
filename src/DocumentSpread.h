/// Spread of published documents between processes: whoever adopts one tells a few peers at once, and those that lack
/// it fetch it from the teller, once each.
#pragma once

#include "PublishedState.h"

#include <string>

namespace bilberry {

class JsonRpcDispatcher;
struct Node;

/// Adds the methods `announce`, `document` and `offer`. Precondition: the node outlives the dispatcher.
void addSpreadMethods(JsonRpcDispatcher&, Node&);

/// Compares what a peer says it holds with what is held here, and queues a fetch from it where it is ahead. The sender
/// is named by its VM, of which the configuration gives the address. Thread safe.
void queueFetchesFromVm(Node&, const std::string& vm, const DocumentVersion (&versions)[documentKindCount]);
/// The same for a peer at a known address. Thread safe.
void queueFetchesFromAddress(Node&, const std::string& address, const DocumentVersion (&versions)[documentKindCount]);

/// Sends the peer what is held here of the documents of which it has none: it can't find its peers, as it knows no
/// configuration. Thread safe.
void sendMissingDocuments(Node&, const std::string& address, const DocumentVersion (&versions)[documentKindCount]);

/// Does the queued work: fetches documents from peers and announces those adopted. Waits up to `wait` for some.
/// Called by one thread.
void processSpreadQueue(Node&, Milliseconds wait);

} // namespace bilberry
