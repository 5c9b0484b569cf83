#include "StandInKinds.h"
#include "StandInRate.h"
#include "StandInServer.h"
#include <condition_variable>
#include <gflags/gflags.h>
#include <map>

DECLARE_string(listen);

namespace bilberry::standin {

namespace {

/// A stored value and the index of the write that stored it.
struct StoredValue {
    std::string body;
    uint64_t index = 0;
};

/// The current value of a key, and the previous one, which is returned to readers while the switch `stale` is set.
struct KeyHistory {
    StoredValue current;
    StoredValue previous;
};

struct ConfigService {
    Controls controls;
    CallRateLimiter callLimiter;
    std::mutex mutex;
    std::condition_variable valueChanged;
    std::map<std::string, KeyHistory> keys;
    uint64_t lastIndex = 0;
};

constexpr Milliseconds defaultWait { 300'000 };

Milliseconds parseWait(const std::string& text)
{
    if (text.empty())
        return defaultWait;
    const long amount = std::strtol(text.c_str(), nullptr, 10);
    return text.find("ms") == std::string::npos ? Milliseconds(Seconds(amount)) : Milliseconds(amount);
}

/// Returns the value that a reader gets now, with the fault switches applied. Index 0 means that the key is absent.
StoredValue visibleValue(const ConfigService& service, const std::string& name)
{
    const auto found = service.keys.find(name);
    StoredValue value;
    if (found != service.keys.end()) {
        const bool isStale = switchValue(service.controls, "stale", false) && found->second.previous.index > 0;
        value = isStale ? found->second.previous : found->second.current;
    }
    value.index = switchValue(service.controls, "serve_index", value.index);
    value.body = switchValue(service.controls, "serve_body", value.body);
    return value;
}

StoredValue waitForValue(ConfigService& service, const std::string& name, uint64_t after, Milliseconds wait)
{
    std::unique_lock lock(service.mutex);
    const auto isDue = [&] {
        return switchValue(service.controls, "down", false) || visibleValue(service, name).index > after;
    };
    service.valueChanged.wait_until(lock, Clock::now() + wait, isDue);
    return visibleValue(service, name);
}

void answerRead(ConfigService& service, const httplib::Request& request, httplib::Response& response)
{
    addCount(service.controls, "calls");
    if (!allowCall(service.callLimiter, switchValue(service.controls, "calls_per_second", 0.0)))
        return answerError(response, 429, "over the call rate");
    const bool isBlocking = request.has_param("index");
    const uint64_t after = isBlocking ? std::strtoull(request.get_param_value("index").c_str(), nullptr, 10) : 0;
    const Milliseconds wait = isBlocking && after > 0 ? parseWait(request.get_param_value("wait")) : Milliseconds(0);
    const StoredValue value = waitForValue(service, request.matches[1], after, wait);
    if (switchValue(service.controls, "down", false))
        return answerError(response, 503, "down");
    if (value.index == 0)
        return answerError(response, 404, "no such key");
    response.set_header("X-Consul-Index", std::to_string(value.index));
    response.set_content(value.body, "application/json");
}

void storeValue(ConfigService& service, const httplib::Request& request, httplib::Response& response)
{
    {
        const std::lock_guard lock(service.mutex);
        KeyHistory& key = service.keys[request.matches[1]];
        key.previous = std::move(key.current);
        key.current = { request.body, ++service.lastIndex };
    }
    service.valueChanged.notify_all();
    response.set_content("true", "application/json");
}

void wakeReaders(ConfigService& service)
{
    {
        const std::lock_guard lock(service.mutex);
    }
    service.valueChanged.notify_all();
}

} // namespace

void runConfig()
{
    static ConfigService service;
    service.controls.counts = { { "calls", 0 } };
    service.controls.onSwitchesChanged = [](const nlohmann::json&) { wakeReaders(service); };
    Server server(service.controls);
    server.Get("/v1/kv/(.+)", makeHandler(service, answerRead));
    server.Put("/v1/kv/(.+)", makeHandler(service, storeValue));
    server.serve(FLAGS_listen, "listening");
}

} // namespace bilberry::standin
