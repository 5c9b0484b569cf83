/// Decides which entries read the platform's store. Its calls are limited and cost as much as VMs, so in each data centre two
/// entries read it and the others take its changes from them. It is designed for fleets of hundreds of entries: the calls
/// grow with the data centres, not with the entries. An entry that no longer gets recent news reads the store itself. Pure
/// functions without I/O.
#pragma once

#include "PeerTable.h"

#include <string>

namespace bilberry {

/// Until when an entry reads the store although others were chosen. Used by one thread at a time.
struct StoreReading {
    TimePoint fallbackUntil {};
};

/// Whether this entry is to call the store: it is one of the chosen ones, no chosen one has a recent view, or its own view has
/// grown old. `viewAge` is the age of its own cluster view.
bool shouldReadStore(StoreReading&, const PeerTable&, Milliseconds viewAge, TimePoint now);
/// Returns the entry of this data centre to ask for changes, if one is known to have newer ones or the own view needs to be
/// confirmed; empty otherwise. Thread safe.
std::string readerToAsk(const PeerTable&, const StoreVersion& ownVersion, Milliseconds viewAge, TimePoint now);

} // namespace bilberry
