#include "CutOffReport.h"

#include "EventLog.h"
#include "Metrics.h"

#include <string>

namespace bilberry {

// Least time between two log lines on the same cause.
static constexpr Milliseconds logInterval { 1000 };

CutOffReport::CutOffReport(Metrics& metrics, EventLog& log)
    : metrics(metrics)
    , log(log)
{
}

void CutOffReport::note(CutOffCause cause, size_t heldBytes, TimePoint now)
{
    this->metrics.addToCounter("bilberry_callers_cut_off_total", { { "cause", std::string(toText(cause)) } });
    auto& own = this->unlogged.at(static_cast<size_t>(cause));
    ++own.count;
    if (own.loggedAt != TimePoint() && now - own.loggedAt < logInterval)
        return;
    this->log.write(LogLevel::Warning, "callers_cut_off", { { "cause", toText(cause) }, { "count", own.count }, { "held_bytes", static_cast<uint64_t>(heldBytes) } });
    own = { 0, now };
}

} // namespace bilberry
