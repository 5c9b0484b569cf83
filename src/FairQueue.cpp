#include "FairQueue.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

// One of this many requests comes from the lowest priority that has waiting requests.
static constexpr uint64_t lowestPriorityInterval = 8;

static AccountQueue& findOrAddAccount(PriorityLevel& level, RowIndex accountRow, uint32_t weight)
{
    if (level.accounts.size() <= accountRow)
        level.accounts.resize(accountRow + 1);
    AccountQueue& account = level.accounts[accountRow];
    account.weight = weight;
    return account;
}

static PriorityLevel& levelFor(FairQueue& queue, Priority priority)
{
    return queue.levels[static_cast<size_t>(priority)];
}

static void appendRequest(FairQueue& queue, const QueuedRequest& request, uint32_t weight)
{
    PriorityLevel& level = levelFor(queue, request.priority);
    AccountQueue& account = findOrAddAccount(level, request.accountRow, weight);
    if (account.requests.empty())
        account.virtualTime = std::max(account.virtualTime, level.virtualTime);
    account.requests.push_back(request);
    ++level.size;
    ++queue.size;
}

static uint64_t evictNewestRequest(FairQueue& queue, PriorityLevel& level, AccountQueue& account)
{
    uint64_t ticket = account.requests.back().ticket;
    account.requests.pop_back();
    --level.size;
    --queue.size;
    return ticket;
}

// Returns the account with the most waiting requests per weight; null when the level is empty.
static AccountQueue* findLargestAccount(PriorityLevel& level)
{
    AccountQueue* largest = nullptr;
    double maxRequestsPerWeight = 0;
    for (auto& account : level.accounts) {
        double requestsPerWeight = static_cast<double>(account.requests.size()) / account.weight;
        if (requestsPerWeight > maxRequestsPerWeight) {
            maxRequestsPerWeight = requestsPerWeight;
            largest = &account;
        }
    }
    return largest;
}

// Evicts a request to make room for a new one. Returns the evicted ticket, or nothing when no request may be evicted.
static std::optional<uint64_t> evictForRequest(FairQueue& queue, const QueuedRequest& request, uint32_t weight)
{
    for (auto& level : queue.levels) {
        if (&level == &levelFor(queue, request.priority))
            break;
        if (auto* largest = findLargestAccount(level))
            return evictNewestRequest(queue, level, *largest);
    }
    PriorityLevel& level = levelFor(queue, request.priority);
    auto* largest = findLargestAccount(level);
    if (!largest)
        return std::nullopt;
    size_t ownRequests = request.accountRow < level.accounts.size() ? level.accounts[request.accountRow].requests.size() : 0;
    bool isOwnAccount = request.accountRow < level.accounts.size() && largest == &level.accounts[request.accountRow];
    double requestsPerWeight = static_cast<double>(largest->requests.size()) / largest->weight;
    if (isOwnAccount || requestsPerWeight <= static_cast<double>(ownRequests + 1) / weight)
        return std::nullopt;
    return evictNewestRequest(queue, level, *largest);
}

EnqueueResult enqueueRequest(FairQueue& queue, const QueuedRequest& request, uint32_t weight, size_t maxSize)
{
    EnqueueResult result;
    if (queue.size >= maxSize) {
        result.evictedTicket = evictForRequest(queue, request, weight);
        if (!result.evictedTicket)
            return result;
    }
    appendRequest(queue, request, weight);
    result.isQueued = true;
    return result;
}

static std::optional<QueuedRequest> dequeueFromLevel(FairQueue& queue, PriorityLevel& level)
{
    AccountQueue* next = nullptr;
    for (auto& account : level.accounts) {
        if (!account.requests.empty() && (!next || account.virtualTime < next->virtualTime))
            next = &account;
    }
    if (!next)
        return std::nullopt;
    QueuedRequest request = next->requests.front();
    next->requests.pop_front();
    level.virtualTime = next->virtualTime;
    next->virtualTime += 1.0 / next->weight;
    --level.size;
    --queue.size;
    return request;
}

std::optional<QueuedRequest> dequeueRequest(FairQueue& queue)
{
    if (queue.size == 0)
        return std::nullopt;
    ++queue.servedCount;
    bool isLowestFirst = queue.servedCount % lowestPriorityInterval == 0;
    for (int i = 0; i < priorityCount; ++i) {
        PriorityLevel& level = queue.levels[isLowestFirst ? i : priorityCount - 1 - i];
        if (level.size > 0)
            return dequeueFromLevel(queue, level);
    }
    return std::nullopt;
}

// Removes the requests for which the predicate holds and returns their tickets.
template <typename Predicate>
static std::vector<uint64_t> removeRequestsIf(FairQueue& queue, Predicate shouldRemove)
{
    std::vector<uint64_t> tickets;
    for (auto& level : queue.levels) {
        for (auto& account : level.accounts) {
            auto& requests = account.requests;
            auto firstRemoved = std::stable_partition(requests.begin(), requests.end(), [&](const QueuedRequest& request) { return !shouldRemove(request); });
            for (auto position = firstRemoved; position != requests.end(); ++position)
                tickets.push_back(position->ticket);
            level.size -= static_cast<size_t>(requests.end() - firstRemoved);
            requests.erase(firstRemoved, requests.end());
        }
    }
    queue.size -= tickets.size();
    return tickets;
}

std::vector<uint64_t> removeExpiredRequests(FairQueue& queue, TimePoint now)
{
    return removeRequestsIf(queue, [now](const QueuedRequest& request) { return request.latestStart < now; });
}

bool removeQueuedRequest(FairQueue& queue, uint64_t ticket)
{
    return !removeRequestsIf(queue, [ticket](const QueuedRequest& request) { return request.ticket == ticket; }).empty();
}

size_t countRequestsAhead(const FairQueue& queue, Priority priority, RowIndex accountRow, uint32_t weight)
{
    size_t higherPriority = 0;
    for (int i = static_cast<int>(priority) + 1; i < priorityCount; ++i)
        higherPriority += queue.levels[i].size;
    const PriorityLevel& level = queue.levels[static_cast<size_t>(priority)];
    size_t ownRequests = accountRow < level.accounts.size() ? level.accounts[accountRow].requests.size() : 0;
    // Until the new request is served, each other account is served in proportion to its weight, rounded up.
    double othersAhead = 0;
    for (RowIndex other = 0; other < level.accounts.size(); ++other) {
        const AccountQueue& account = level.accounts[other];
        double maxServed = std::ceil(static_cast<double>(ownRequests + 1) * account.weight / weight);
        if (other != accountRow)
            othersAhead += std::min(maxServed, static_cast<double>(account.requests.size()));
    }
    return higherPriority + ownRequests + static_cast<size_t>(othersAhead);
}

} // namespace bilberry
