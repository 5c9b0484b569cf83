/// The entries that an agent knows, and which of them it asks. Answers entries that come and go: the own data centre first,
/// one that failed last. Pure state.
#pragma once

#include "Types.h"

#include <map>
#include <string>
#include <vector>

namespace bilberry {

/// Used by one thread at a time.
struct EntryDirectory {
    struct Row {
        std::string dataCentre; ///< Empty until the entry has said it.
        int consecutiveFailures = 0;
        TimePoint avoidUntil {};
    };

    std::string ownHost; ///< Spreads agents over entries.
    std::string dataCentre;
    std::map<std::string, Row> rows; ///< By IP number.

    /// Learns of an entry that may exist; `dataCentre` is empty while it isn't known. Beyond a bound no more are learned.
    void add(const std::string& ip, const std::string& dataCentre);
    /// The entry has answered, and says where it is.
    void noteAnswer(const std::string& ip, const std::string& dataCentre);
    /// The entry has not answered: it is avoided for a time that grows with each failure. Does nothing for an unknown one.
    void noteFailure(const std::string& ip, TimePoint now);
};

/// The entry to ask now: one of the own data centre, one of which nothing is known, any other. One that failed lately only when
/// all did. Empty when none is known. Thread safe.
std::string chooseEntry(const EntryDirectory&, TimePoint now);

} // namespace bilberry
