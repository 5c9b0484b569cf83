/// The entries that an agent knows, and the choice of the one to send a request to. Entries may start and stop at any time,
/// so the choice prefers entries of the agent's own data centre and uses entries that failed recently only as a last resort.
/// Holds state only and does no I/O.
#pragma once

#include "Types.h"

#include <map>
#include <string>
#include <vector>

namespace bilberry {

/// Used by one thread at a time.
struct EntryDirectory {
    struct Row {
        std::string dataCentre; ///< Empty until it is known.
        int consecutiveFailures = 0;
        TimePoint avoidUntil {}; ///< Until when the entry is avoided; the default value if it isn't.
    };

    std::string ownHost; ///< The agent's IP address; hashed with the entry's to spread agents over entries.
    std::string dataCentre; ///< The agent's data centre.
    std::map<std::string, Row> rows; ///< The key is the IP address of the entry.

    /// Adds an entry that may exist; `dataCentre` is empty while it isn't known. Does nothing when the directory is full.
    void add(const std::string& ip, const std::string& dataCentre);
    /// Records that the entry has answered and is in that data centre.
    void recordAnswer(const std::string& ip, const std::string& dataCentre);
    /// Records that the entry has not answered; it is avoided for a time that grows with each failure. Does nothing for an
    /// unknown entry.
    void recordFailure(const std::string& ip, TimePoint now);
};

/// Returns the IP address of the entry to send the next request to: preferably one of the own data centre, then one whose
/// data centre isn't known, then any other one. An entry that is being avoided is chosen only when all are. Returns an empty
/// string when no entry is known. Thread safe.
std::string chooseEntry(const EntryDirectory&, TimePoint now);

/// Returns the time until an entry is known that isn't avoided; zero when there is one now, or when no entry is known. Thread
/// safe.
Duration timeUntilUnavoidedEntry(const EntryDirectory&, TimePoint now);

} // namespace bilberry
