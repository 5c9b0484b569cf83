#include "NodeSettings.h"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(role, "", "entry (takes callers' requests) or agent (brings weights to the engine on its VM)");
DEFINE_string(vm, "", "name of the VM");
DEFINE_string(data_centre, "", "data centre of the VM");
DEFINE_string(data_centres, "", "all data centres with their regions: NAME=REGION,NAME=REGION");
DEFINE_string(listen, "", "IP:port for callers, of entries");
DEFINE_string(ready_listen, "", "IP:port on which the balancer asks, of entries");
DEFINE_string(metrics_listen, "", "IP:port for metrics; empty: none");
DEFINE_string(ip, "", "own IP number towards other processes");
DEFINE_string(peer_ports, "", "ports for the exchange between processes: one, or FIRST,LAST; empty: no exchange");
DEFINE_string(seeds, "", "IP:port of some entries, separated by commas");
DEFINE_string(store, "", "IP:port of the platform's store, of entries");
DEFINE_string(engine, "", "IP:port of the engine, of agents");
DEFINE_string(service, "", "service of the engine, of agents");
DEFINE_double(link_megabits, 0, "rate of the VM's link in Mbit/s; 0: not known");
DEFINE_int32(max_descriptors, 1024, "descriptors that the process may use");
DEFINE_int32(log_lines_per_second, 200, "most log lines a second; what is beyond is counted");
DEFINE_double(drain_ms, 2000, "time for which a leaving endpoint still serves");
DEFINE_double(stop_grace_s, 8, "time from SIGTERM to the forced end");
DEFINE_double(revocation_ms, 5000, "time after which a key that was taken away must not be used");
DEFINE_bool(fail_closed, true, "refuse keyed requests while revocations can't be known");
DEFINE_double(repeat_ratio, 0.2, "repeats allowed per request for a service, of all entries");
DEFINE_double(repeat_extra, 0, "repeats allowed beyond that in one window, of all entries");
DEFINE_double(repeat_window_s, 10, "the window");
DEFINE_double(cold_factor, 1, "multiple of the rate of a cold endpoint that it may get in a second");
DEFINE_double(cold_slack, 0, "requests beyond that");
DEFINE_double(version_ms, 0, "time in which all engines turn to newly named weights; 0: no bound");
DEFINE_double(contact_ms, 3000, "time after a disturbance in which bounds don't hold yet");

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
        faults.push_back(fmt::format("--{}: {} is not from {} to {}", name, value, least, most));
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
    NodeLocation place;
    place.dataCentre = FLAGS_data_centre;
    std::vector<std::string> pairs = absl::StrSplit(FLAGS_data_centres, ',', absl::SkipEmpty());
    for (const auto& pair : pairs) {
        std::vector<std::string> words = absl::StrSplit(pair, '=');
        if (words.size() == 2 && !words[0].empty())
            place.regionByDataCentre[words[0]] = words[1];
        else
            faults.push_back(fmt::format("--data_centres: \"{}\" is not NAME=REGION", pair));
    }
    if (place.regionByDataCentre.count(place.dataCentre) == 0)
        faults.push_back(fmt::format("--data_centre: \"{}\" is not among --data_centres", place.dataCentre));
    return place;
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
    ReloadableSettings bounds;
    bounds.drainTime = readMilliseconds("drain_ms", FLAGS_drain_ms, hour, faults);
    bounds.stopGracePeriod = readMilliseconds("stop_grace_s", FLAGS_stop_grace_s * 1000, hour, faults);
    bounds.maxRevocationDelay = readMilliseconds("revocation_ms", FLAGS_revocation_ms, hour, faults);
    bounds.failsClosed = FLAGS_fail_closed;
    bounds.retryLimits.ratio = readNumberInRange("repeat_ratio", FLAGS_repeat_ratio, 0, 10, faults);
    bounds.retryLimits.fixedRetries = readNumberInRange("repeat_extra", FLAGS_repeat_extra, 0, 1e6, faults);
    bounds.retryLimits.window = Milliseconds(static_cast<int64_t>(1000 * readNumberInRange("repeat_window_s", FLAGS_repeat_window_s, 0.1, 3600, faults)));
    bounds.coldRateFactor = readNumberInRange("cold_factor", FLAGS_cold_factor, 0, 1000, faults);
    bounds.coldRateAllowance = readNumberInRange("cold_slack", FLAGS_cold_slack, 0, 1e6, faults);
    bounds.maxVersionSwitchTime = readMilliseconds("version_ms", FLAGS_version_ms, hour, faults);
    bounds.recoveryGracePeriod = readMilliseconds("contact_ms", FLAGS_contact_ms, hour, faults);
    return bounds;
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
        faults.push_back("--peer_ports: must be set for an agent, which lives from what entries tell it");
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
    auto bounds = readReloadableSettings(line.faults);
    if (!line.faults.empty())
        return makeFaultStatus(line.faults);
    return bounds;
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
