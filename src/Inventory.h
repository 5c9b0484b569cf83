/// Tables of the operators' asset register: data centres, VMs, services, models and client accounts.
/// They are plain data, filled by parseConfiguration() and not changed afterwards.
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
    std::string address; ///< IP:port of the system's process on this VM.
    RowIndex service = noRow; ///< The service whose back end runs on it; noRow on entry VMs.
    std::string backEndAddress; ///< IP:port of the back end; empty on entry VMs.
    uint64_t weightMemoryBytes = 0; ///< Memory for weights at the back end, in bytes.
    bool checksFencing = false; ///< Whether the engine refuses an order with an outdated fencing number.
    uint32_t maxConcurrency = 8; ///< Upper bound of the admission limit, in concurrent requests.
    uint32_t coldStartConcurrency = 1; ///< Concurrent requests that the back end can handle during a cold start.
};

/// A target that callers address: a model service by the model's name, a plain service by a path prefix.
struct Service {
    std::string name;
    ServiceKind kind = ServiceKind::Model;
    std::string pathPrefix; ///< Path prefix such as "/register"; only plain services have one.
};

struct Model {
    std::string name;
    std::string versionTag; ///< Tag that names the version in the weight store.
    RowIndex service = noRow; ///< The service whose VMs can serve the model.
    uint64_t sizeBytes = 0;
};

/// A client account.
struct Caller {
    std::string name;
    uint32_t fairShareWeight = 1; ///< Relative weight in the fair queue of an endpoint.
    std::string keySha256; ///< SHA-256 of the account's key as hex digits; empty when the load balancer authenticates it.
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

/// Returns the index of the row with this name, or noRow. Thread safe.
template <typename Row>
RowIndex findRow(const std::vector<Row>& rows, std::string_view name)
{
    for (RowIndex index = 0; index < rows.size(); ++index) {
        if (rows[index].name == name)
            return index;
    }
    return noRow;
}

/// Whether the two data centres are in the same region. Precondition: both rows exist.
bool inSameRegion(const Inventory&, RowIndex firstDataCentre, RowIndex secondDataCentre);

/// Whether the path equals the prefix or lies below it. Thread safe.
bool isPathWithin(std::string_view path, std::string_view prefix);

} // namespace bilberry
