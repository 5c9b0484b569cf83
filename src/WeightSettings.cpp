#include "WeightSettings.h"

#include <gflags/gflags.h>

// Three quarters of 20 Mbit/s, so that live requests keep a quarter of the link and what the weights leave of it.
DEFINE_uint64(weight_region_bytes_per_second, 1'875'000, "bound of the weights that one region takes from the others, in bytes per second; 0 is unbounded");
DEFINE_uint64(weight_upload_bytes_per_second, 0, "bound of the weights that this VM sends to others, in bytes per second; 0 is unbounded");
DEFINE_double(weight_live_share, 0.8, "share of the bound on what this VM sends that is used while live requests are in progress here; 0.1 to 1");
DEFINE_string(weight_strategy, "peers", "how chunks spread: peers; origin or tree are baselines for measurements");

namespace bilberry {

WeightSettings readWeightSettings()
{
    WeightSettings settings;
    settings.regionIngressBytesPerSecond = FLAGS_weight_region_bytes_per_second;
    settings.uploadBytesPerSecond = FLAGS_weight_upload_bytes_per_second;
    settings.liveShare = FLAGS_weight_live_share;
    if (FLAGS_weight_strategy == "origin")
        settings.strategy = DistributionStrategy::OriginOnly;
    else if (FLAGS_weight_strategy == "tree")
        settings.strategy = DistributionStrategy::Tree;
    return settings;
}

} // namespace bilberry
