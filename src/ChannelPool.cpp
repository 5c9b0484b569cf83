#include "ChannelPool.h"

namespace bilberry {

// Idle time up to which a connection is reused if the endpoint didn't state a keep-alive timeout.
static constexpr Milliseconds defaultMaxIdleTime { 4000 };
// Share of the stated keep-alive timeout up to which a connection is reused. The margin keeps a request from being sent
// just when the endpoint closes the connection.
static constexpr double usableKeepAliveShare = 0.7;

ChannelPool::ChannelPool(EventLoop& loop, const ChannelTimeouts& channelTimeouts, size_t maxIdlePerEndpoint)
    : loop(loop)
    , timeouts(channelTimeouts)
    , maxIdlePerEndpoint(maxIdlePerEndpoint)
{
}

static Milliseconds maxIdleTimeOf(const HttpChannel& channel)
{
    auto statedTime = std::chrono::duration_cast<Milliseconds>(channel.keepAliveTime());
    if (statedTime == Milliseconds(0))
        return defaultMaxIdleTime;
    return Milliseconds(static_cast<int64_t>(usableKeepAliveShare * static_cast<double>(statedTime.count())));
}

std::shared_ptr<HttpChannel> ChannelPool::acquireChannel(const std::string& endpointId, const Address& address, Milliseconds maxIdleTime)
{
    auto& channels = this->idleChannels[endpointId];
    auto now = Clock::now();
    while (!channels.empty()) {
        auto channel = std::move(channels.back());
        channels.pop_back();
        auto idleTime = now - channel->idleSince();
        if (channel->canReuse() && idleTime < std::min(maxIdleTime, maxIdleTimeOf(*channel)))
            return channel;
        channel->close();
    }
    ++this->channelsCreated;
    return std::make_shared<HttpChannel>(this->loop, address, this->timeouts);
}

void ChannelPool::releaseChannel(const std::string& endpointId, std::shared_ptr<HttpChannel> channel)
{
    auto& channels = this->idleChannels[endpointId];
    if (channel->canReuse() && channels.size() < this->maxIdlePerEndpoint)
        channels.push_back(std::move(channel));
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
