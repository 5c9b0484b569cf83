#include "Inventory.h"

namespace bilberry {

bool inSameRegion(const Inventory& inventory, RowIndex firstDataCentre, RowIndex secondDataCentre)
{
    return inventory.dataCentres[firstDataCentre].region == inventory.dataCentres[secondDataCentre].region;
}

} // namespace bilberry
