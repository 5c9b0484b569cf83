/// Finds out whether endpoints live on after the end of answers that would end in the same way if the endpoint were killed.
#pragma once

#include "ConnectionProbe.h"
#include "Types.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace bilberry {

class Metrics;

/// Used by the loop's thread only.
class LivenessChecks {
public:
    /// Preconditions: loop and metrics outlive the object, which outlives the run of the loop.
    LivenessChecks(EventLoop&, Metrics&);
    ~LivenessChecks();
    LivenessChecks(const LivenessChecks&) = delete;
    LivenessChecks& operator=(const LivenessChecks&) = delete;

    /// Probes the endpoint's address a moment after this call; an endpoint that had ended before the call refuses by then. Calls
    /// for one endpoint that follow each other at once share a probe. The handler is called once, after this function has returned.
    void check(const std::string& endpointId, const Address&, ProbeHandler);

private:
    struct Check;

    void probe(const std::shared_ptr<Check>&);

    EventLoop& loop;
    Metrics& metrics;
    std::unordered_map<std::string, std::shared_ptr<Check>> openChecks; ///< Checks whose probe hasn't begun; the key is the endpoint's id.
};

} // namespace bilberry
