/// Stand-ins for the external systems, for use in tests. docs/INTERFACES.md specifies the interfaces that they implement.
#include "StandInKinds.h"
#include <csignal>
#include <cstdlib>
#include <functional>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <string>

// Flags that several kinds use. A flag that only one kind uses is defined in the file of that kind.
DEFINE_string(kind, "", "what to run: config, store, engine, plain or link");
DEFINE_string(listen, "127.0.0.1:0", "address to serve on; port 0 picks a free one");
DEFINE_double(bytes_per_second, 0, "store: total egress of all connections; link: rate of each direction; 0 = unlimited");
DEFINE_int32(slots, 0, "engine, plain: maximum number of requests that run concurrently; 0 = unlimited");
DEFINE_int32(cold_slots, 1, "engine, plain: maximum number of requests that run or wait while cold");

int main(int argc, char** argv)
{
    using namespace bilberry::standin;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, [](int) { std::_Exit(0); });
    const std::map<std::string, std::function<void()>> kinds {
        { "config", runConfig }, { "store", runStore }, { "engine", runEngine }, { "plain", runPlain }, { "link", runLink }
    };
    const auto kind = kinds.find(FLAGS_kind);
    if (kind == kinds.end()) {
        std::cerr << "unknown --kind\n";
        return 2;
    }
    kind->second();
    return 0;
}
