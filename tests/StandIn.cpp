/// Stand-ins for the outside systems; docs/INTERFACES.md is what they speak.
#include "StandInKinds.h"
#include <csignal>
#include <cstdlib>
#include <functional>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <string>

DEFINE_string(kind, "", "config, store, engine, plain or link");
DEFINE_string(listen, "127.0.0.1:0", "address to serve on; port 0 picks a free one");
DEFINE_double(bytes_per_second, 0, "store: egress of all connections together; link: each direction; 0 = unlimited");
DEFINE_int32(slots, 0, "engine, plain: requests that run at a time; 0 = unlimited");
DEFINE_int32(cold_slots, 1, "engine, plain: requests that run at a time while cold");
DEFINE_double(token_ms, 0, "engine: time of a token");
DEFINE_double(prefill_ms, 0, "engine: time before the first token");
DEFINE_double(cold_ms, 0, "engine: cold period after each load");
DEFINE_bool(checks_fencing, true, "engine: refuse orders with an old fencing number");
DEFINE_string(name, "plain", "plain: service name in the answers");
DEFINE_double(work_ms, 0, "plain: time of a run");
DEFINE_string(target, "", "link: IP:port that connections are relayed to");

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
