/// The operators' asset register as tables: data centres, VMs, services, models and client accounts.
/// Plain data, filled by parseConfiguration() and not changed after.
#pragma once

#include "Types.h"

#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

struct DataCentre {
    std::string name;
    std::string region;
};

/// A VM that runs one process of the system.
struct Vm {
    std::string name;
    RowIndex dataCentre = noRow;
    Role role = Role::Endpoint;
    std::string address; ///< IP:port of the system's process on it.
    RowIndex service = noRow; ///< The service whose back end runs on it; noRow on entry VMs.
    std::string backEndAddress; ///< IP:port of the back end; empty on entry VMs.
    uint64_t weightMemoryBytes = 0; ///< Room for weights at the back end.
    bool checksFencing = false; ///< Whether the engine refuses an order with an old fencing number.
    uint32_t maxConcurrency = 8; ///< Upper bound of the admission limit, in requests.
    uint32_t coldStartConcurrency = 1; ///< What the back end bears in cold start, in requests.
};

/// What callers address: a model service by the model's name, a plain service by a path prefix.
struct Service {
    std::string name;
    ServiceKind kind = ServiceKind::Model;
    std::string pathPrefix; ///< Plain services only, such as "/register".
};

struct Model {
    std::string name;
    std::string versionTag; ///< Tag of the version in the weight store.
    RowIndex service = noRow; ///< The service whose VMs can carry it.
    uint64_t sizeBytes = 0;
};

/// A client account.
struct Caller {
    std::string name;
    uint32_t fairShareWeight = 1; ///< Weight in the fair division of an endpoint.
    std::string keySha256; ///< Hex digest of the account's key; empty when the balancer authenticates it.
};

struct Inventory {
    std::vector<DataCentre> dataCentres;
    std::vector<Vm> vms;
    std::vector<Service> services;
    std::vector<Model> models;
    std::vector<Caller> callers;
    std::string weightStoreAddress; ///< IP:port of the weight store.
    std::string weightStoreRegion;
};

/// Position of the row with that name, or noRow. Thread safe.
template <typename Row>
RowIndex findRow(const std::vector<Row>& rows, std::string_view name)
{
    for (RowIndex index = 0; index < rows.size(); ++index) {
        if (rows[index].name == name)
            return index;
    }
    return noRow;
}

/// Whether both VMs are in data centres of one region. Preconditions: both rows exist.
bool inSameRegion(const Inventory&, RowIndex firstDataCentre, RowIndex secondDataCentre);

} // namespace bilberry
