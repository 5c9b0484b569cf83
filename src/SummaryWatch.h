/// Follows the summary of a service by long polling: asks one entry at a time, which holds its answer until a newer version
/// is named or a time limit is reached. When an entry fails or its view is too old, another one is asked.
#pragma once

#include "EntryDirectory.h"
#include "EventLoop.h"
#include "ServiceSummary.h"

#include <functional>
#include <memory>

namespace bilberry {

/// Path prefix of requests for service summaries: /briefs/NEWEST/URGENT/SERVICE. NEWEST is the newest named version that the
/// agent knows; the answer isn't held when URGENT isn't 0.
constexpr std::string_view summaryPathPrefix = "/briefs/";
/// Longest time for which an entry holds an answer.
constexpr Milliseconds summaryHoldTime { 3000 };

struct SummaryWatchSettings {
    std::string ip; ///< The agent's IP address.
    std::string dataCentre; ///< The agent's data centre.
    int port = 0; ///< The port at which all entries answer.
    std::vector<std::string> seeds; ///< IP addresses of some entries, which may no longer exist.
    std::string service;
};

struct SummaryWatchHandlers {
    /// Receives each summary, also one of an entry whose view is too old (more than 3 s).
    std::function<void(const ServiceSummary&)> onSummary;
    /// Is called when an entry has not answered; `reason` begins with its IP address.
    std::function<void(const std::string& reason)> onEntryFailure;
};

/// Used by the loop's thread only; runs from start() until it is destroyed.
class SummaryWatch {
public:
    /// Precondition: the loop outlives the watch.
    SummaryWatch(EventLoop&, const SummaryWatchSettings&, SummaryWatchHandlers);
    ~SummaryWatch();
    SummaryWatch(const SummaryWatch&) = delete;
    SummaryWatch& operator=(const SummaryWatch&) = delete;

    /// Asks the first entry. Does nothing when there are no seeds. Precondition: not called before.
    void start();
    /// Sets whether the next summaries are needed soon, even if nothing has changed. Takes effect with the next request, not
    /// for one that an entry already holds.
    void setUrgent(bool);
    /// Returns the IP address of the entry that answered last; empty when none has answered, or when that one has failed
    /// since.
    const std::string& currentEntry() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bilberry
