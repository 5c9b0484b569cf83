/// Follows what entries say of a service: asks one that answers, which holds its answer until there is news or some time has
/// passed.
#pragma once

#include "EntryDirectory.h"
#include "EventLoop.h"
#include "ServiceSummary.h"

#include <functional>
#include <memory>

namespace bilberry {

/// Path at which entries answer briefs: /briefs/NEWEST/HURRY/SERVICE.
constexpr std::string_view summaryPathPrefix = "/briefs/";
/// Longest time for which an entry holds the answer.
constexpr Milliseconds summaryHoldTime { 3000 };

struct SummaryWatchSettings {
    std::string ip; ///< Own IP number.
    std::string dataCentre;
    int port = 0; ///< Of all entries.
    std::vector<std::string> seeds; ///< IP numbers of some entries, perhaps gone.
    std::string service;
};

struct SummaryWatchHandlers {
    std::function<void(const ServiceSummary&)> onSummary;
    /// An entry has not answered: which one, and the reason.
    std::function<void(const std::string& reason)> onEntryLost;
};

/// Used by the loop's thread only; runs from start() until it is destroyed.
class SummaryWatch {
public:
    /// Precondition: the loop outlives it.
    SummaryWatch(EventLoop&, const SummaryWatchSettings&, SummaryWatchHandlers);
    ~SummaryWatch();
    SummaryWatch(const SummaryWatch&) = delete;
    SummaryWatch& operator=(const SummaryWatch&) = delete;

    /// Asks the first entry. Does nothing when there are no seeds. Precondition: not called before.
    void start();
    /// Whether the next briefs are wanted soon, with or without news. Holds from the next question on, not for one that an entry
    /// holds already.
    void setUrgent(bool);
    /// IP number of the entry that answered last; empty when none did, or when it has failed since.
    const std::string& currentEntry() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bilberry
