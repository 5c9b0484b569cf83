/// Tables of the rules that operators set on top of the inventory. They are plain data, filled by parseConfiguration().
#pragma once

#include "Types.h"

#include <optional>
#include <string>
#include <vector>

namespace bilberry {

/// The number of replicas of a model that are wanted at all times.
struct PlacementRule {
    RowIndex model = noRow;
    uint32_t replicas = 1; ///< Number of replicas wanted.
    bool shouldSurviveDataCentreLoss = true; ///< Whether `replicas` must remain when any one data centre is lost.
};

/// A higher number of replicas for a calendar day on which a burst of load is expected.
struct BurstRule {
    std::string name;
    RowIndex model = noRow;
    std::string calendar; ///< ICU calendar type, such as "islamic-umalqura"; "gregorian" for civil dates.
    int month = 1; ///< Month of that calendar, counted from 1.
    int day = 1;
    std::optional<int> year; ///< Year of that calendar; the rule holds every year when it is absent.
    int durationDays = 1;
    int leadDays = 1; ///< Number of days before the burst by which the replicas must be in place.
    uint32_t replicas = 1;
};

/// Requests that may run at most once.
struct UnrepeatableRule {
    RowIndex service = noRow;
    std::string method;
    std::string pathPrefix;
};

/// Priority, time limits, retry budget and objectives of a service's requests.
struct ServiceLevelRule {
    RowIndex service = noRow;
    Priority priority = Priority::Normal;
    Milliseconds defaultTimeout { 30'000 };
    Milliseconds maxTimeout { 120'000 };
    double retryRatio = 0.1; ///< Retries after refusals that are allowed per request.
    double serviceLevelObjective = 0.999; ///< Share of requests that must be good, from 0 to 1.
    Milliseconds latencyObjective { 830 }; ///< A request whose first response byte comes later counts as bad.
};

struct Rules {
    std::vector<PlacementRule> placements;
    std::vector<BurstRule> bursts;
    std::vector<UnrepeatableRule> unrepeatableRules;
    std::vector<ServiceLevelRule> services; ///< One row per service, at the service's row index.
    std::vector<RowIndex> outOfServiceDataCentres; ///< Data centres that operators have taken out of service.
    std::vector<RowIndex> leavingVms; ///< VMs that operators are removing.
};

} // namespace bilberry
