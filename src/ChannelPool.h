/// Pool of idle keep-alive connections to endpoints, so that most requests need no new TCP connection.
#pragma once

#include "EventLoop.h"
#include "HttpChannel.h"
#include "Types.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// Idle connections by endpoint. Used by the loop's thread only.
class ChannelPool {
public:
    /// Keeps up to `maxIdlePerEndpoint` idle connections to one endpoint. Precondition: the loop outlives the pool.
    ChannelPool(EventLoop&, const ChannelTimeouts&, size_t maxIdlePerEndpoint = 64);

    /// Returns a connection to the endpoint: an idle one that the endpoint is expected to keep open still, or else a new one.
    /// A connection that was idle for `maxIdleTime` or longer is closed instead of reused. Requests that must not be repeated
    /// pass a short time, since a connection that breaks after they were sent leaves open whether they were executed.
    std::shared_ptr<HttpChannel> acquireChannel(const std::string& endpointId, const Address&, Milliseconds maxIdleTime);
    /// Returns a connection to the pool, or closes it if it can't be reused or the pool is full.
    void releaseChannel(const std::string& endpointId, std::shared_ptr<HttpChannel>);
    /// Closes the idle connections to an endpoint that was removed.
    void closeIdleChannels(const std::string& endpointId);
    /// Number of connections created since the start.
    uint64_t createdCount() const { return this->channelsCreated; }
    /// Number of idle connections to all endpoints.
    size_t idleCount() const;

private:
    EventLoop& loop;
    ChannelTimeouts timeouts;
    size_t maxIdlePerEndpoint;
    /// Maps the endpoint id to its idle connections; the most recently used one is the last.
    std::unordered_map<std::string, std::vector<std::shared_ptr<HttpChannel>>> idleChannels;
    uint64_t channelsCreated = 0;
};

} // namespace bilberry
