#include "Router.h"

#include "Node.h"

namespace bilberry {

void Router::refresh(const Node& node)
{
    auto configuration = node.published.configuration();
    if (!configuration)
        return;
    RowIndex dataCentre = findRow(configuration->inventory.dataCentres, node.settings.dataCentre);
    auto made = std::make_shared<RoutingTable>(makeRoutingTable(configuration, node.published.liveList().get(), node.fleet.rows(), dataCentre, Clock::now()));
    std::lock_guard<std::mutex> lock(this->mutex);
    this->current = std::move(made);
}

std::shared_ptr<const RoutingTable> Router::table() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->current;
}

RowIndex Router::choose(const RoutingTable& table, RoutingTarget target, const std::vector<RowIndex>& excluded, uint64_t random)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    RowIndex vm = chooseEndpoint(table, target, this->inProgress, excluded, random);
    if (vm == noRow)
        return noRow;
    if (this->inProgress.size() <= vm)
        this->inProgress.resize(vm + 1);
    ++this->inProgress[vm];
    return vm;
}

void Router::acquire(RowIndex vm)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->inProgress.size() <= vm)
        this->inProgress.resize(vm + 1);
    ++this->inProgress[vm];
}

void Router::release(RowIndex vm)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    --this->inProgress[vm];
}

} // namespace bilberry
