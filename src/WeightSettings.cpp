#include "WeightSettings.h"

#include <gflags/gflags.h>

// The default is three quarters of a link of 20 Mbit/s, so that at least a quarter of it stays free for live requests.
DEFINE_uint64(weight_region_bytes_per_second, 1'875'000, "limit on the weights that one region fetches from the others, in bytes per second; 0 is unbounded");
DEFINE_uint64(weight_upload_bytes_per_second, 0, "limit on the weights that this VM sends to others, in bytes per second; 0 is unbounded");
DEFINE_double(weight_live_share, 0.8, "share of weight_upload_bytes_per_second that is used while live requests are in progress at this VM; 0.1 to 1");
DEFINE_string(weight_strategy, "peers", "how chunks are distributed: peers; origin and tree are baselines for measurements");

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
