#include "Settings.h"

#include "Flags.h"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <gflags/gflags.h>

DECLARE_string(authentication_key);
DEFINE_string(role, "", "what the process does: entry or endpoint");
DEFINE_string(vm, "", "name of this VM in the inventory");
DEFINE_string(data_centre, "", "data centre of this VM");
DEFINE_string(listen, "127.0.0.1:0", "IP:port to accept connections on; port 0 picks a free one");
DEFINE_string(configuration_service, "", "IP:port of the platform's configuration service");
DEFINE_string(peers, "", "comma-separated IP:port of processes to ask at start");
DEFINE_string(authentication_key_accepted, "", "second key that is accepted from peers during a key rotation");
DEFINE_int32(http_threads, 256, "connections served at a time, 4 to 1024; each holds a thread, started on demand");
DEFINE_int32(tick_ms, 100, "interval of the periodic work in ms, 10 to 1000");
DEFINE_int32(gossip_ms, 500, "interval of exchanges with peers in ms, 50 to 2000");
DEFINE_int32(connect_timeout_ms, 500, "time limit to connect in ms, 10 to 10000");
DEFINE_int32(call_timeout_ms, 2000, "time limit of a control call in ms, 50 to 60000");
DEFINE_int32(drain_timeout_ms, 120000, "time limit to finish requests in progress at a stop in ms, 0 to 3600000");
DEFINE_uint64(request_memory_bytes, 0, "limit of the requests that callers send, in bytes, at least two of the largest size; 0: no limit");
DEFINE_uint64(weight_memory_bytes, uint64_t(1) << 30, "limit of the weight chunks held in memory, in bytes");

namespace bilberry {

using Faults = std::vector<std::string>;

static Milliseconds checkMilliseconds(const char* name, int value, int low, int high, Faults& faults)
{
    if (value < low || value > high)
        faults.push_back(fmt::format("--{}: {} is not between {} and {} ms", name, value, low, high));
    return Milliseconds(value);
}

static std::string checkAddress(const char* name, const std::string& value, Faults& faults)
{
    auto address = parseAddress(value);
    if (!address.ok())
        faults.push_back(fmt::format("--{}: {}", name, std::string(address.status().message())));
    return value;
}

static void checkPresent(const char* name, const std::string& value, Faults& faults)
{
    if (value.empty())
        faults.push_back(fmt::format("--{}: must be set", name));
}

static Role checkRole(Faults& faults)
{
    if (FLAGS_role != "entry" && FLAGS_role != "endpoint")
        faults.push_back(fmt::format("--role: \"{}\" is neither entry nor endpoint", FLAGS_role));
    return FLAGS_role == "endpoint" ? Role::Endpoint : Role::Entry;
}

// Checks the length of a key. The error message contains no part of the key.
static std::string checkAuthenticationKey(const char* name, const std::string& value, Faults& faults)
{
    if (!value.empty() && value.size() < minKeyLength)
        faults.push_back(fmt::format("--{}: shorter than {} characters", name, minKeyLength));
    return value;
}

absl::StatusOr<Settings> makeSettings(const std::vector<std::string>& earlierFaults)
{
    Faults faults = earlierFaults;
    Settings settings;
    settings.role = checkRole(faults);
    checkPresent("vm", FLAGS_vm, faults);
    settings.vm = FLAGS_vm;
    checkPresent("data_centre", FLAGS_data_centre, faults);
    settings.dataCentre = FLAGS_data_centre;
    auto listen = parseAddress(FLAGS_listen, true);
    if (listen.ok())
        settings.listenAddress = *listen;
    else
        faults.push_back(fmt::format("--listen: {}", std::string(listen.status().message())));
    settings.configurationServiceAddress = checkAddress("configuration_service", FLAGS_configuration_service, faults);
    std::vector<std::string> peers = absl::StrSplit(FLAGS_peers, ',', absl::SkipEmpty());
    for (const auto& peer : peers)
        settings.bootstrapPeers.push_back(checkAddress("peers", peer, faults));
    settings.authenticationKeys.signingKey = checkAuthenticationKey("authentication_key", FLAGS_authentication_key, faults);
    settings.authenticationKeys.additionalKey = checkAuthenticationKey("authentication_key_accepted", FLAGS_authentication_key_accepted, faults);
    if (settings.authenticationKeys.signingKey.empty() && !settings.authenticationKeys.additionalKey.empty())
        faults.push_back("--authentication_key: must be set when --authentication_key_accepted is");
    if (FLAGS_http_threads < 4 || FLAGS_http_threads > 1024)
        faults.push_back(fmt::format("--http_threads: {} is not between 4 and 1024", FLAGS_http_threads));
    settings.httpThreads = FLAGS_http_threads;
    settings.tickInterval = checkMilliseconds("tick_ms", FLAGS_tick_ms, 10, 1000, faults);
    settings.gossipInterval = checkMilliseconds("gossip_ms", FLAGS_gossip_ms, 50, 2000, faults);
    settings.connectTimeout = checkMilliseconds("connect_timeout_ms", FLAGS_connect_timeout_ms, 10, 10'000, faults);
    settings.callTimeout = checkMilliseconds("call_timeout_ms", FLAGS_call_timeout_ms, 50, 60'000, faults);
    settings.drainTimeout = checkMilliseconds("drain_timeout_ms", FLAGS_drain_timeout_ms, 0, 3'600'000, faults);
    settings.requestMemoryBytes = FLAGS_request_memory_bytes;
    settings.weightMemoryBytes = FLAGS_weight_memory_bytes;
    if (!faults.empty())
        return absl::InvalidArgumentError(absl::StrJoin(faults, "\n"));
    return settings;
}

std::string describeSettings()
{
    return describeFlags("Settings.cpp");
}

} // namespace bilberry
