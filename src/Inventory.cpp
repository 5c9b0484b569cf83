#include "Inventory.h"

namespace bilberry {

bool inSameRegion(const Inventory& inventory, RowIndex firstDataCentre, RowIndex secondDataCentre)
{
    return inventory.dataCentres[firstDataCentre].region == inventory.dataCentres[secondDataCentre].region;
}

bool isPathWithin(std::string_view path, std::string_view prefix)
{
    return path.substr(0, prefix.size()) == prefix && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

} // namespace bilberry
