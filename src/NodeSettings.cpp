#include "NodeSettings.h"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(role, "", "entry (takes callers' requests) or agent (delivers model weights to the engine on its VM)");
DEFINE_string(vm, "", "name of the VM");
DEFINE_string(data_centre, "", "data centre of the VM");
DEFINE_string(data_centres, "", "all data centres with their regions: NAME=REGION,NAME=REGION");
DEFINE_string(listen, "", "IP:port on which an entry accepts callers' requests");
DEFINE_string(ready_listen, "", "IP:port on which an entry answers the load balancer's readiness checks");
DEFINE_string(metrics_listen, "", "IP:port that serves metrics; empty: not served");
DEFINE_string(ip, "", "IP address at which other processes reach this one");
DEFINE_string(peer_ports, "", "ports for the exchange between processes: one port or FIRST,LAST; empty: no exchange");
DEFINE_string(seeds, "", "IP:port of entries to contact first, separated by commas");
DEFINE_string(store, "", "IP:port of the platform's store, for entries");
DEFINE_string(engine, "", "IP:port of the engine, for agents");
DEFINE_string(service, "", "service that the engine belongs to, for agents");
DEFINE_double(link_megabits, 0, "rate of the VM's network link in Mbit/s; 0: not known");
DEFINE_int32(max_descriptors, 1024, "file descriptors that the process may use");
DEFINE_double(memory_mb, 0, "memory of the VM in MB, from which the limits on what callers may make the process hold are derived; 0: not known, no such limits");
DEFINE_int32(log_lines_per_second, 200, "limit of log lines per second; lines beyond it are only counted");
DEFINE_double(drain_ms, 2000, "time in ms for which a leaving endpoint still serves requests");
DEFINE_double(stop_grace_s, 8, "time in seconds from SIGTERM to the forced exit");
DEFINE_double(revocation_ms, 5000, "time in ms after which a revoked key must no longer be accepted");
DEFINE_bool(fail_closed, true, "refuse requests with a key while revocations can't be known");
DEFINE_double(repeat_ratio, 0.2, "retries allowed per request of a service, for all entries together");
DEFINE_double(repeat_extra, 0, "retries allowed beyond repeat_ratio in one window, for all entries together");
DEFINE_double(repeat_window_s, 10, "length in seconds of the window in which retries are counted");
DEFINE_double(hedge_share, 0, "share of a service's requests that may also be sent to a second endpoint while their answer is late; 0: none");
DEFINE_uint32(hedge_max_at_once, 8, "largest number of such requests that an entry has in progress at a time");
DEFINE_double(cold_factor, 1, "multiple of a cold endpoint's rate that all entries together may send it in one second");
DEFINE_double(cold_slack, 0, "requests allowed in one second beyond cold_factor, for all entries together");
DEFINE_double(version_ms, 0, "time in ms in which all engines switch to a newly named version; 0: no limit");
DEFINE_double(contact_ms, 3000, "time in ms after a disturbance in which the time limits don't hold yet");

namespace bilberry {

using Faults = std::vector<std::string>;

static std::string currentFlagFile;

static std::optional<Address> readAddress(const char* name, const std::string& text, bool mustBeSet, Faults& faults)
{
    if (text.empty()) {
        if (mustBeSet)
            faults.push_back(fmt::format("--{}: must be set", name));
        return std::nullopt;
    }
    auto address = parseAddress(text, true);
    if (address.ok())
        return *address;
    faults.push_back(fmt::format("--{}: {}", name, std::string(address.status().message())));
    return std::nullopt;
}

static double readNumberInRange(const char* name, double value, double least, double most, Faults& faults)
{
    bool isInRange = value >= least && value <= most;
    if (!isInRange)
        faults.push_back(fmt::format("--{}: {} is not between {} and {}", name, value, least, most));
    return value;
}

static Milliseconds readMilliseconds(const char* name, double value, double most, Faults& faults)
{
    return Milliseconds(static_cast<int64_t>(readNumberInRange(name, value, 0, most, faults)));
}

static NodeRole readRole(Faults& faults)
{
    if (FLAGS_role != "entry" && FLAGS_role != "agent")
        faults.push_back(fmt::format("--role: \"{}\" is neither entry nor agent", FLAGS_role));
    return FLAGS_role == "agent" ? NodeRole::Agent : NodeRole::Entry;
}

static NodeLocation readLocation(Faults& faults)
{
    NodeLocation location;
    location.dataCentre = FLAGS_data_centre;
    std::vector<std::string> pairs = absl::StrSplit(FLAGS_data_centres, ',', absl::SkipEmpty());
    for (const auto& pair : pairs) {
        std::vector<std::string> words = absl::StrSplit(pair, '=');
        if (words.size() == 2 && !words[0].empty())
            location.regionByDataCentre[words[0]] = words[1];
        else
            faults.push_back(fmt::format("--data_centres: \"{}\" is not NAME=REGION", pair));
    }
    if (location.regionByDataCentre.count(location.dataCentre) == 0)
        faults.push_back(fmt::format("--data_centre: \"{}\" is not among --data_centres", location.dataCentre));
    return location;
}

static int readPeerPort(Faults& faults)
{
    if (FLAGS_peer_ports.empty())
        return 0;
    std::string first = FLAGS_peer_ports.substr(0, FLAGS_peer_ports.find(','));
    auto address = parseAddress("127.0.0.1:" + first);
    if (!address.ok())
        faults.push_back(fmt::format("--peer_ports: \"{}\" is neither a port nor FIRST,LAST", FLAGS_peer_ports));
    return address.ok() ? address->port : 0;
}

static ReloadableSettings readReloadableSettings(Faults& faults)
{
    static constexpr double hour = 3'600'000;
    ReloadableSettings settings;
    settings.drainTime = readMilliseconds("drain_ms", FLAGS_drain_ms, hour, faults);
    settings.stopGracePeriod = readMilliseconds("stop_grace_s", FLAGS_stop_grace_s * 1000, hour, faults);
    settings.maxRevocationDelay = readMilliseconds("revocation_ms", FLAGS_revocation_ms, hour, faults);
    settings.failsClosed = FLAGS_fail_closed;
    settings.retryLimits.ratio = readNumberInRange("repeat_ratio", FLAGS_repeat_ratio, 0, 10, faults);
    settings.retryLimits.fixedRetries = readNumberInRange("repeat_extra", FLAGS_repeat_extra, 0, 1e6, faults);
    settings.retryLimits.window = Milliseconds(static_cast<int64_t>(1000 * readNumberInRange("repeat_window_s", FLAGS_repeat_window_s, 0.1, 3600, faults)));
    settings.hedgeLimits.share = readNumberInRange("hedge_share", FLAGS_hedge_share, 0, 1, faults);
    settings.hedgeLimits.maxAtOnce = FLAGS_hedge_max_at_once;
    settings.coldRateFactor = readNumberInRange("cold_factor", FLAGS_cold_factor, 0, 1000, faults);
    settings.coldRateAllowance = readNumberInRange("cold_slack", FLAGS_cold_slack, 0, 1e6, faults);
    settings.maxVersionSwitchTime = readMilliseconds("version_ms", FLAGS_version_ms, hour, faults);
    settings.recoveryGracePeriod = readMilliseconds("contact_ms", FLAGS_contact_ms, hour, faults);
    return settings;
}

static absl::Status makeFaultStatus(const Faults& faults)
{
    return absl::InvalidArgumentError(absl::StrJoin(faults, "\n"));
}

static NodeSettings makeNodeSettings(Faults& faults)
{
    NodeSettings settings;
    settings.role = readRole(faults);
    bool isEntry = settings.role == NodeRole::Entry;
    if (FLAGS_vm.empty())
        faults.push_back("--vm: must be set");
    settings.vm = FLAGS_vm;
    settings.location = readLocation(faults);
    settings.listenAddress = readAddress("listen", FLAGS_listen, isEntry, faults).value_or(Address());
    settings.readinessListenAddress = readAddress("ready_listen", FLAGS_ready_listen, isEntry, faults).value_or(Address());
    settings.metricsListenAddress = readAddress("metrics_listen", FLAGS_metrics_listen, false, faults);
    settings.ownIp = FLAGS_ip;
    settings.peerPort = readPeerPort(faults);
    if (!isEntry && settings.peerPort == 0)
        faults.push_back("--peer_ports: must be set for an agent, which learns everything from entries");
    std::vector<std::string> seeds = absl::StrSplit(FLAGS_seeds, ',', absl::SkipEmpty());
    for (const auto& seed : seeds) {
        if (auto address = readAddress("seeds", seed, true, faults))
            settings.seedAddresses.push_back(*address);
    }
    if (!isEntry && settings.seedAddresses.empty())
        faults.push_back("--seeds: must be set for an agent");
    settings.storeAddress = readAddress("store", FLAGS_store, isEntry, faults).value_or(Address());
    settings.engineAddress = readAddress("engine", FLAGS_engine, !isEntry, faults);
    if (!isEntry && FLAGS_service.empty())
        faults.push_back("--service: must be set");
    settings.service = FLAGS_service;
    settings.linkMegabitsPerSecond = readNumberInRange("link_megabits", FLAGS_link_megabits, 0, 1e6, faults);
    settings.maxFileDescriptors = static_cast<int>(readNumberInRange("max_descriptors", FLAGS_max_descriptors, 64, 1e7, faults));
    settings.vmMemoryBytes = static_cast<size_t>(readNumberInRange("memory_mb", FLAGS_memory_mb, 0, 1e6, faults) * (1 << 20));
    settings.logLinesPerSecond = static_cast<int>(readNumberInRange("log_lines_per_second", FLAGS_log_lines_per_second, 0, 1e6, faults));
    settings.reloadable = readReloadableSettings(faults);
    return settings;
}

absl::StatusOr<NodeSettings> readNodeSettings(int argc, char** argv)
{
    auto line = readCommandLine(argc, argv);
    for (const auto& word : line.positional)
        line.faults.push_back("\"" + word + "\": no such argument");
    currentFlagFile = line.flagFile;
    auto settings = makeNodeSettings(line.faults);
    if (!line.faults.empty())
        return makeFaultStatus(line.faults);
    return settings;
}

absl::StatusOr<ReloadableSettings> reloadSettings(const std::string& flagFile)
{
    CommandLine line;
    readFlagFile(flagFile, line);
    auto settings = readReloadableSettings(line.faults);
    if (!line.faults.empty())
        return makeFaultStatus(line.faults);
    return settings;
}

std::string flagFilePath()
{
    return currentFlagFile;
}

std::string describeNodeSettings()
{
    return describeFlags("NodeSettings.cpp");
}

} // namespace bilberry
