#include "FairQueue.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

// One request in so many comes from the lowest priority that waits.
static constexpr uint64_t lowestPriorityInterval = 8;

static QueuedAccount& accountOf(PriorityLevel& level, RowIndex caller, uint32_t share)
{
    if (level.accounts.size() <= caller)
        level.accounts.resize(caller + 1);
    QueuedAccount& account = level.accounts[caller];
    account.share = share;
    return account;
}

static PriorityLevel& levelOf(FairQueue& queue, Priority priority)
{
    return queue.levels[static_cast<size_t>(priority)];
}

static void add(FairQueue& queue, const QueuedRequest& request, uint32_t share)
{
    PriorityLevel& level = levelOf(queue, request.priority);
    QueuedAccount& account = accountOf(level, request.caller, share);
    if (account.waiting.empty())
        account.virtualTime = std::max(account.virtualTime, level.virtualTime);
    account.waiting.push_back(request);
    ++level.size;
    ++queue.size;
}

static uint64_t evictNewest(FairQueue& queue, PriorityLevel& level, QueuedAccount& account)
{
    uint64_t ticket = account.waiting.back().ticket;
    account.waiting.pop_back();
    --level.size;
    --queue.size;
    return ticket;
}

// The account that holds most for its share; null in an empty level.
static QueuedAccount* findLargest(PriorityLevel& level)
{
    QueuedAccount* largest = nullptr;
    double most = 0;
    for (auto& account : level.accounts) {
        double held = static_cast<double>(account.waiting.size()) / account.share;
        if (held > most) {
            most = held;
            largest = &account;
        }
    }
    return largest;
}

// Makes room for a request; the ticket that gave way, or nothing when none may.
static std::optional<uint64_t> makeRoom(FairQueue& queue, const QueuedRequest& request, uint32_t share)
{
    for (auto& level : queue.levels) {
        if (&level == &levelOf(queue, request.priority))
            break;
        if (auto* largest = findLargest(level))
            return evictNewest(queue, level, *largest);
    }
    PriorityLevel& level = levelOf(queue, request.priority);
    auto* largest = findLargest(level);
    if (!largest)
        return std::nullopt;
    size_t own = request.caller < level.accounts.size() ? level.accounts[request.caller].waiting.size() : 0;
    bool isOwn = request.caller < level.accounts.size() && largest == &level.accounts[request.caller];
    double held = static_cast<double>(largest->waiting.size()) / largest->share;
    if (isOwn || held <= static_cast<double>(own + 1) / share)
        return std::nullopt;
    return evictNewest(queue, level, *largest);
}

QueueOffer offerToQueue(FairQueue& queue, const QueuedRequest& request, uint32_t share, size_t maxSize)
{
    QueueOffer offer;
    if (queue.size >= maxSize) {
        offer.evicted = makeRoom(queue, request, share);
        if (!offer.evicted)
            return offer;
    }
    add(queue, request, share);
    offer.isQueued = true;
    return offer;
}

static std::optional<QueuedRequest> takeNext(FairQueue& queue, PriorityLevel& level)
{
    QueuedAccount* next = nullptr;
    for (auto& account : level.accounts) {
        if (!account.waiting.empty() && (!next || account.virtualTime < next->virtualTime))
            next = &account;
    }
    if (!next)
        return std::nullopt;
    QueuedRequest request = next->waiting.front();
    next->waiting.pop_front();
    level.virtualTime = next->virtualTime;
    next->virtualTime += 1.0 / next->share;
    --level.size;
    --queue.size;
    return request;
}

std::optional<QueuedRequest> takeFromQueue(FairQueue& queue)
{
    if (queue.size == 0)
        return std::nullopt;
    ++queue.served;
    bool isLowestsTurn = queue.served % lowestPriorityInterval == 0;
    for (int i = 0; i < priorityCount; ++i) {
        PriorityLevel& level = queue.levels[isLowestsTurn ? i : priorityCount - 1 - i];
        if (level.size > 0)
            return takeNext(queue, level);
    }
    return std::nullopt;
}

// Removes the requests for which the predicate holds; returns their tickets.
template <typename Predicate>
static std::vector<uint64_t> removeWhere(FairQueue& queue, Predicate isRemoved)
{
    std::vector<uint64_t> tickets;
    for (auto& level : queue.levels) {
        for (auto& account : level.accounts) {
            auto& waiting = account.waiting;
            auto kept = std::stable_partition(waiting.begin(), waiting.end(), [&](const QueuedRequest& request) { return !isRemoved(request); });
            for (auto position = kept; position != waiting.end(); ++position)
                tickets.push_back(position->ticket);
            level.size -= static_cast<size_t>(waiting.end() - kept);
            waiting.erase(kept, waiting.end());
        }
    }
    queue.size -= tickets.size();
    return tickets;
}

std::vector<uint64_t> removeLate(FairQueue& queue, TimePoint now)
{
    return removeWhere(queue, [now](const QueuedRequest& request) { return request.latestStart < now; });
}

bool removeFromQueue(FairQueue& queue, uint64_t ticket)
{
    return !removeWhere(queue, [ticket](const QueuedRequest& request) { return request.ticket == ticket; }).empty();
}

size_t countAhead(const FairQueue& queue, Priority priority, RowIndex caller, uint32_t share)
{
    size_t higher = 0;
    for (int i = static_cast<int>(priority) + 1; i < priorityCount; ++i)
        higher += queue.levels[i].size;
    const PriorityLevel& level = queue.levels[static_cast<size_t>(priority)];
    size_t own = caller < level.accounts.size() ? level.accounts[caller].waiting.size() : 0;
    // While one more of its own is served, each other account is served in proportion to its share, rounded up.
    double others = 0;
    for (RowIndex other = 0; other < level.accounts.size(); ++other) {
        const QueuedAccount& account = level.accounts[other];
        double turns = std::ceil(static_cast<double>(own + 1) * account.share / share);
        if (other != caller)
            others += std::min(turns, static_cast<double>(account.waiting.size()));
    }
    return higher + own + static_cast<size_t>(others);
}

} // namespace bilberry
