/// The operators' rules on top of the inventory, as tables. Plain data, filled by parseConfiguration().
#pragma once

#include "Types.h"

#include <optional>
#include <string>
#include <vector>

namespace bilberry {

/// How many replicas of a model are wanted, day in, day out.
struct PlacementRule {
    RowIndex model = noRow;
    uint32_t replicas = 1; ///< Replicas that must remain when any one data centre is lost.
    bool shouldSurviveDataCentreLoss = true;
};

/// More replicas for a day that a calendar names.
struct BurstRule {
    std::string name;
    RowIndex model = noRow;
    std::string calendar; ///< ICU calendar type, such as "islamic-umalqura"; "gregorian" for civil dates.
    int month = 1; ///< 1-based in that calendar.
    int day = 1;
    std::optional<int> year; ///< In that calendar; every year when absent.
    int durationDays = 1;
    int leadDays = 1; ///< Models are in place this long before.
    uint32_t replicas = 1;
};

/// Requests that may run at most once.
struct UnrepeatableRule {
    RowIndex service = noRow;
    std::string method;
    std::string pathPrefix;
};

/// What a service's requests get and owe.
struct ServiceLevelRule {
    RowIndex service = noRow;
    Priority priority = Priority::Normal;
    Milliseconds defaultTimeout { 30'000 };
    Milliseconds maxTimeout { 120'000 };
    double retryRatio = 0.1; ///< Retries after refusals allowed as a share of requests.
    double serviceLevelObjective = 0.999; ///< Share of requests that must be good.
    Milliseconds latencyObjective { 830 }; ///< A slower first byte counts as bad.
};

struct Rules {
    std::vector<PlacementRule> placements;
    std::vector<BurstRule> bursts;
    std::vector<UnrepeatableRule> unrepeatableRules;
    std::vector<ServiceLevelRule> services; ///< One row a service, at the service's row index.
    std::vector<RowIndex> outOfServiceDataCentres; ///< Taken out of service by the operators.
    std::vector<RowIndex> leavingVms; ///< VMs that operators are removing.
};

} // namespace bilberry
