#include "ChannelPool.h"

namespace bilberry {

// Idle connections that are kept to one endpoint.
static constexpr size_t maxIdlePerEndpoint = 64;
// Idle time up to which a connection is used when its other side didn't say for how long it is kept.
static constexpr Milliseconds defaultIdleTime { 4000 };
// Share of the stated time that is used.
static constexpr double usedKeepAlive = 0.7;

ChannelPool::ChannelPool(EventLoop& loop, const ChannelTimes& times)
    : loop(loop)
    , times(times)
{
}

static Milliseconds usableIdleTime(const HttpChannel& channel)
{
    auto stated = std::chrono::duration_cast<Milliseconds>(channel.keepAliveTime());
    if (stated == Milliseconds(0))
        return defaultIdleTime;
    return Milliseconds(static_cast<int64_t>(usedKeepAlive * static_cast<double>(stated.count())));
}

std::shared_ptr<HttpChannel> ChannelPool::take(const std::string& endpointId, const Address& address, Milliseconds longestIdle)
{
    auto& kept = this->idle[endpointId];
    auto now = Clock::now();
    while (!kept.empty()) {
        auto channel = std::move(kept.back());
        kept.pop_back();
        auto idleTime = now - channel->idleSince();
        if (channel->canReuse() && idleTime < std::min(longestIdle, usableIdleTime(*channel)))
            return channel;
        channel->close();
    }
    ++this->made;
    return std::make_shared<HttpChannel>(this->loop, address, this->times);
}

void ChannelPool::give(const std::string& endpointId, std::shared_ptr<HttpChannel> channel)
{
    auto& kept = this->idle[endpointId];
    if (channel->canReuse() && kept.size() < maxIdlePerEndpoint)
        kept.push_back(std::move(channel));
    else
        channel->close();
}

void ChannelPool::drop(const std::string& endpointId)
{
    auto found = this->idle.find(endpointId);
    if (found == this->idle.end())
        return;
    for (auto& channel : found->second)
        channel->close();
    this->idle.erase(found);
}

size_t ChannelPool::idleCount() const
{
    size_t count = 0;
    for (const auto& [id, channels] : this->idle)
        count += channels.size();
    return count;
}

} // namespace bilberry
