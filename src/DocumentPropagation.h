/// Propagation of published documents between processes. A process that adopts a document announces it to a few peers at
/// once, and each peer that lacks it fetches it once from the sender of the announcement. All processes thus get a new
/// document quickly, although only a few of them read the configuration service.
#pragma once

#include "PublishedState.h"

#include <string>

namespace bilberry {

class JsonRpcDispatcher;
struct Node;

/// Adds the JSON-RPC methods `announce`, `document` and `offer`. Precondition: the node outlives the dispatcher.
void addPropagationMethods(JsonRpcDispatcher&, Node&);

/// Queues a fetch from a peer for each document of which the peer states a newer version than this process holds. `vm` is
/// the name of the peer's VM, whose address is taken from the configuration; an unknown VM is ignored. Thread safe.
void queueFetchesFromVm(Node&, const std::string& vm, const DocumentVersion (&versions)[documentKindCount]);
/// Queues the same fetches for a peer whose address is known. Thread safe.
void queueFetchesFromAddress(Node&, const std::string& address, const DocumentVersion (&versions)[documentKindCount]);

/// Sends the peer each document that this process holds and of which the peer has no version at all. Such a peer can't
/// fetch the document itself, since without a configuration it does not know the addresses of its peers. Blocks for the
/// calls. Thread safe.
void sendMissingDocuments(Node&, const std::string& address, const DocumentVersion (&versions)[documentKindCount]);

/// Processes the queued work: fetches documents from peers and announces those that were adopted. Waits up to `wait` for
/// work, and blocks for the calls. Must be called by a single thread.
void processPropagationQueue(Node&, Milliseconds wait);

} // namespace bilberry
