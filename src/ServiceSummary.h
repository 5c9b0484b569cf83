/// What an entry tells the weights agents of a service, so that these need no call to the platform's store: the model, where
/// its weights come from, the versions that were named, and the engines.
#pragma once

#include "Address.h"
#include "RouteTable.h"
#include "Types.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberry {

struct ClusterView;

/// A version of the model's weights that operators have named.
struct SummaryVersion {
    uint32_t version = 0;
    Milliseconds namedFor { 0 }; ///< Time since the entry learned of it.
};

/// An engine of the service.
struct ServiceEngine {
    std::string host; ///< IP number of its VM.
    std::string dataCentre;
    uint32_t version = 0; ///< Of the weights that it serves as a whole; zero: none.
};

struct ServiceSummary {
    Milliseconds age { 0 }; ///< Of what the entry knows.
    std::string dataCentre; ///< Of the entry.
    std::vector<std::string> entries; ///< IP numbers of some other entries in that data centre.
    ServedModel model;
    std::optional<Address> origin;
    std::string originDataCentre;
    std::vector<SummaryVersion> namedVersions; ///< The oldest first.
    std::vector<ServiceEngine> engines; ///< In the order of their hosts, each host once.
};

/// Fills in what belief says of a service; nothing when it knows no such service, or one without a model. Thread safe.
std::optional<ServiceSummary> summarizeService(const ClusterView&, const std::string& service, TimePoint now);

/// The newest version that was named; zero when none was. Thread safe.
uint32_t newestNamedVersion(const ServiceSummary&);

/// The brief as bytes (MessagePack). Thread safe.
std::string encodeServiceSummary(const ServiceSummary&);
/// Fails for bytes that are no brief of this layout. Thread safe.
absl::StatusOr<ServiceSummary> decodeServiceSummary(const std::string& bytes);

} // namespace bilberry
