/// Follows what entries say of a service: asks one that answers, which holds its answer until there is news or some time has
/// passed.
#pragma once

#include "EntryDirectory.h"
#include "EventLoop.h"
#include "ServiceBrief.h"

#include <functional>
#include <memory>

namespace bilberry {

/// Path at which entries answer briefs: /briefs/NEWEST/HURRY/SERVICE.
constexpr std::string_view briefPrefix = "/briefs/";
/// Longest time for which an entry holds the answer.
constexpr Milliseconds briefHoldTime { 3000 };

struct BriefWatchSettings {
    std::string ip; ///< Own IP number.
    std::string dataCentre;
    int port = 0; ///< Of all entries.
    std::vector<std::string> seeds; ///< IP numbers of some entries, perhaps gone.
    std::string service;
};

struct BriefWatchHandlers {
    std::function<void(const ServiceBrief&)> onBrief;
    /// An entry has not answered: which one, and the reason.
    std::function<void(const std::string& reason)> onLost;
};

/// Used by the loop's thread only; runs from start() until it is destroyed.
class BriefWatch {
public:
    /// Precondition: the loop outlives it.
    BriefWatch(EventLoop&, const BriefWatchSettings&, BriefWatchHandlers);
    ~BriefWatch();
    BriefWatch(const BriefWatch&) = delete;
    BriefWatch& operator=(const BriefWatch&) = delete;

    /// Asks the first entry. Does nothing when there are no seeds. Precondition: not called before.
    void start();
    /// Whether the next briefs are wanted soon, with or without news. Holds from the next question on, not for one that an entry
    /// holds already.
    void hurry(bool);
    /// IP number of the entry that answered last; empty when none did, or when it has failed since.
    const std::string& entry() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bilberry
