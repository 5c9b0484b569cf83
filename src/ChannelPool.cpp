#include "ChannelPool.h"

namespace bilberry {

// Idle connections that are kept to one endpoint.
static constexpr size_t maxIdlePerEndpoint = 64;
// Idle time up to which a connection is used when its other side didn't say for how long it is kept.
static constexpr Milliseconds defaultMaxIdleTime { 4000 };
// Share of the stated time that is used.
static constexpr double usableKeepAliveShare = 0.7;

ChannelPool::ChannelPool(EventLoop& loop, const ChannelTimeouts& times)
    : loop(loop)
    , timeouts(times)
{
}

static Milliseconds maxIdleTimeOf(const HttpChannel& channel)
{
    auto stated = std::chrono::duration_cast<Milliseconds>(channel.keepAliveTime());
    if (stated == Milliseconds(0))
        return defaultMaxIdleTime;
    return Milliseconds(static_cast<int64_t>(usableKeepAliveShare * static_cast<double>(stated.count())));
}

std::shared_ptr<HttpChannel> ChannelPool::acquireChannel(const std::string& endpointId, const Address& address, Milliseconds longestIdle)
{
    auto& kept = this->idleChannels[endpointId];
    auto now = Clock::now();
    while (!kept.empty()) {
        auto channel = std::move(kept.back());
        kept.pop_back();
        auto idleTime = now - channel->idleSince();
        if (channel->canReuse() && idleTime < std::min(longestIdle, maxIdleTimeOf(*channel)))
            return channel;
        channel->close();
    }
    ++this->channelsCreated;
    return std::make_shared<HttpChannel>(this->loop, address, this->timeouts);
}

void ChannelPool::releaseChannel(const std::string& endpointId, std::shared_ptr<HttpChannel> channel)
{
    auto& kept = this->idleChannels[endpointId];
    if (channel->canReuse() && kept.size() < maxIdlePerEndpoint)
        kept.push_back(std::move(channel));
    else
        channel->close();
}

void ChannelPool::closeIdleChannels(const std::string& endpointId)
{
    auto found = this->idleChannels.find(endpointId);
    if (found == this->idleChannels.end())
        return;
    for (auto& channel : found->second)
        channel->close();
    this->idleChannels.erase(found);
}

size_t ChannelPool::idleCount() const
{
    size_t count = 0;
    for (const auto& [id, channels] : this->idleChannels)
        count += channels.size();
    return count;
}

} // namespace bilberry
