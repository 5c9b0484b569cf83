/// Connections to endpoints that are kept between requests.
#pragma once

#include "EventLoop.h"
#include "HttpChannel.h"
#include "Types.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// Used by the loop's thread only.
class ChannelPool {
public:
    /// Precondition: the loop outlives the pool.
    ChannelPool(EventLoop&, const ChannelTimeouts&);

    /// A connection to the endpoint: a kept one that is younger than the endpoint keeps it, else a new one. One that was idle
    /// for longer than `longestIdle` isn't taken, for requests that may not be repeated.
    std::shared_ptr<HttpChannel> acquireChannel(const std::string& endpointId, const Address&, Milliseconds longestIdle);
    /// Keeps a connection, if it can be used again.
    void releaseChannel(const std::string& endpointId, std::shared_ptr<HttpChannel>);
    /// Closes the idle connections to an endpoint that is gone.
    void closeIdleChannels(const std::string& endpointId);
    /// Connections that were made so far, and those that are idle.
    uint64_t createdCount() const { return this->channelsCreated; }
    size_t idleCount() const;

private:
    EventLoop& loop;
    ChannelTimeouts timeouts;
    std::unordered_map<std::string, std::vector<std::shared_ptr<HttpChannel>>> idleChannels; ///< The newest last.
    uint64_t channelsCreated = 0;
};

} // namespace bilberry
