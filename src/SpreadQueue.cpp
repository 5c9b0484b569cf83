#include "SpreadQueue.h"

#include <utility>

namespace bilberry {

void SpreadQueue::requestFetch(DocumentKind kind, const DocumentFetchRequest& request)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    DocumentFetchRequest& pending = this->work.fetches[static_cast<size_t>(kind)];
    if (request.offered.generation < pending.offered.generation)
        return;
    pending = request;
    this->hasWork = true;
    this->changed.notify_one();
}

void SpreadQueue::requestAnnouncement(DocumentKind kind)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->work.announcements[static_cast<size_t>(kind)] = true;
    this->hasWork = true;
    this->changed.notify_one();
}

SpreadWork SpreadQueue::takeWork(Milliseconds wait)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait_for(lock, wait, [&] { return this->hasWork; });
    this->hasWork = false;
    return std::exchange(this->work, SpreadWork());
}

} // namespace bilberry
