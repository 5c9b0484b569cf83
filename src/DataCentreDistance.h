/// How far the other data centres are, by this entry's own exchanges with endpoints there. Which load this answers: demand that is
/// high in one data centre, so that much of it goes to others, some of which may be so far that the answers would be late. Functions without
/// I/O.
#pragma once

#include "EntryConfiguration.h"
#include "Types.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace bilberry {

/// An exchange that was observed.
struct ExchangeSample {
    TimePoint endedAt {};
    FractionalMilliseconds duration { 0 };
};

/// Used by one thread at a time.
struct DataCentreDistances {
    /// By data centre, the own one included, the last exchanges in which the endpoint did no work: connects and refusals; bounded.
    std::map<std::string, std::deque<ExchangeSample>> exchanges;
    TimePoint tickedAt {}; ///< The last tick; the default value before the first one.
    TimePoint awakeSince {}; ///< The end of the last pause of the process.
};

/// Records a tick. A long time without ticks was a pause of the process: what was observed before isn't used any more. Is to be called
/// several times a second.
void noteTick(DataCentreDistances&, TimePoint now);
/// Records an exchange that began at `startedAt` and ended at `endedAt`, in which the endpoint did no work. One during which the process
/// was paused is ignored.
void noteExchange(DataCentreDistances&, const std::string& dataCentre, TimePoint startedAt, TimePoint endedAt);
/// Returns the round trip to another data centre beyond that within the own one, by the shortest recent exchanges with both, or nothing
/// while one of them is unknown. It isn't negative. Thread safe.
std::optional<FractionalMilliseconds> roundTripTo(const DataCentreDistances&, const std::string& own, const std::string& other, TimePoint now);

} // namespace bilberry
