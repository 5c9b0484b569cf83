#include "LivenessChecks.h"

#include "Metrics.h"

#include <utility>
#include <vector>

namespace bilberry {

// Least time from the end of an answer to the probe: a process that ends may close its connections a moment before its port.
static constexpr Milliseconds minProbeDelay { 60 };
// Time within which further answers that end at the same endpoint join a check: a process that ends closes all its connections.
static constexpr Milliseconds joiningTime { 10 };
static constexpr Milliseconds probeTimeout { 600 };

struct LivenessChecks::Check {
    Check(EventLoop& loop, const Address& address)
        : address(address)
        , timer(loop)
    {
    }

    Address address;
    TimePoint beganAt = Clock::now();
    LoopTimer timer;
    std::vector<ProbeHandler> handlers;
};

LivenessChecks::LivenessChecks(EventLoop& loop, Metrics& metrics)
    : loop(loop)
    , metrics(metrics)
{
}

LivenessChecks::~LivenessChecks() = default;

void LivenessChecks::check(const std::string& endpointId, const Address& address, ProbeHandler handler)
{
    auto& open = this->openChecks[endpointId];
    bool canJoin = open && Clock::now() - open->beganAt <= joiningTime;
    if (canJoin) {
        open->handlers.push_back(std::move(handler));
        return;
    }
    auto started = std::make_shared<Check>(this->loop, address);
    started->handlers.push_back(std::move(handler));
    open = started;
    started->timer.expires_after(minProbeDelay + joiningTime);
    started->timer.async_wait([this, started, endpointId](const boost::system::error_code&) {
        auto found = this->openChecks.find(endpointId);
        if (found != this->openChecks.end() && found->second == started)
            this->openChecks.erase(found);
        this->probe(started);
    });
}

void LivenessChecks::probe(const std::shared_ptr<Check>& started)
{
    probeConnection(this->loop, started->address, probeTimeout, [this, started](ProbeResult result) {
        this->metrics.addToCounter("bilberry_end_probes_total", { { "result", std::string(toText(result)) } });
        for (const auto& handler : started->handlers)
            handler(result);
    });
}

} // namespace bilberry
