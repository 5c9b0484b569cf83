#include "RequestTimeline.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <set>
#include <string_view>

namespace bilberry {

using nlohmann::json;

// Events of other lines are shown from this time before the start of the request, since they may explain it.
static constexpr Milliseconds explanationLookback { 5000 };

struct ReasonText {
    std::string_view reason;
    std::string_view text;
};

static constexpr std::array<ReasonText, 19> reasonTexts { {
    { "overloaded", "so many requests were queued before it that it could not have been answered in time" },
    { "no_free_place", "no endpoint had a free place within its longest queue wait" },
    { "endpoints_set_aside", "every endpoint had stated that it leaves or wants no requests for some time" },
    { "not_run", "every endpoint that was tried refused it or could not be reached" },
    { "revocations_unknown", "the store was not heard for too long, so that the caller's key may have been revoked" },
    { "no_configuration", "the entry had not read a configuration yet" },
    { "stopping", "the entry was being stopped" },
    { "crashes_endpoints", "it, or a part of its prompt, was running at three endpoints when they crashed" },
    { "lost", "the connection to its endpoint ended before the answer; it may have run" },
    { "end_unverified", "whether its answer was whole is unknown, since its endpoint could not be reached afterwards; it may have run" },
    { "malformed", "its endpoint sent an invalid answer; it may have run" },
    { "server_error", "its endpoint answered with a server error; it may have run" },
    { "timed_out", "it ran into its timeout; it may have run" },
    { "not_sent", "no connection to an endpoint could be made" },
    { "not_executed", "its endpoint stated that it did not run it" },
    { "unknown_key", "its key belongs to no client account" },
    { "no_route", "no route matches its host and path" },
    { "no_request_id", "it had no request id" },
    { "", "" },
} };

static std::string_view describeReason(std::string_view reason)
{
    auto found = std::find_if(reasonTexts.begin(), reasonTexts.end(), [&](const ReasonText& row) { return row.reason == reason; });
    return found == reasonTexts.end() ? std::string_view("a reason unknown to this program") : found->text;
}

// Returns an empty string when the line has no such string.
static std::string stringField(const json& fields, const char* name)
{
    auto found = fields.find(name);
    return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// Returns zero when the line has no such number.
static int64_t numberField(const json& fields, const char* name)
{
    auto found = fields.find(name);
    return found != fields.end() && found->is_number() ? found->get<int64_t>() : 0;
}

LogLines readLogLines(std::istream& input)
{
    LogLines log;
    std::string text;
    while (std::getline(input, text)) {
        auto begin = text.find('{');
        auto fields = begin == std::string::npos ? json() : json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(), nullptr, false);
        bool isLine = fields.is_object() && fields.contains("time_ms") && fields["time_ms"].is_number() && !stringField(fields, "event").empty();
        if (!isLine) {
            log.unreadableCount += text.empty() ? 0 : 1;
            continue;
        }
        LogLine line { Milliseconds(numberField(fields, "time_ms")), stringField(fields, "vm"), stringField(fields, "event"), std::move(fields) };
        log.lines.push_back(std::move(line));
    }
    std::stable_sort(log.lines.begin(), log.lines.end(), [](const LogLine& first, const LogLine& second) { return first.time < second.time; });
    return log;
}

static std::string describeRequestEnd(const json& fields)
{
    auto reason = stringField(fields, "reason");
    auto text = fmt::format("{}, status {}", stringField(fields, "outcome"), numberField(fields, "status"));
    if (!reason.empty())
        text += fmt::format(", {}: {}", reason, describeReason(reason));
    text += fmt::format("\n      route \"{}\", {} attempts that may have run and {} that have not; waited {} ms for a place, first byte after {} ms, took {} of {} ms", stringField(fields, "route"),
        numberField(fields, "runs"), numberField(fields, "refusals"), numberField(fields, "queued_ms"), numberField(fields, "first_ms"), numberField(fields, "total_ms"), numberField(fields, "budget_ms"));
    text += fmt::format("\n      decided on configuration {}, with a cluster view {} ms old", numberField(fields, "generation"), numberField(fields, "belief_age_ms"));
    auto endpoint = stringField(fields, "endpoint");
    if (endpoint.empty())
        return text;
    text += fmt::format("; endpoint {} was estimated to have {} requests", endpoint, numberField(fields, "load_thought"));
    int64_t stated = numberField(fields, "load_stated");
    return stated < 0 ? text : text + fmt::format(" and reported {}", stated);
}

// Formats all fields except those that every line has.
static std::string describeFields(const json& fields)
{
    static const std::set<std::string> common { "time_ms", "level", "vm", "event" };
    std::string text;
    for (const auto& [name, value] : fields.items()) {
        if (common.count(name) == 0)
            text += fmt::format(" {} {}", name, value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

static std::string describeLine(const LogLine& line)
{
    if (line.event == "request")
        return describeRequestEnd(line.fields);
    if (line.event != "attempt_failed")
        return line.event + ":" + describeFields(line.fields);
    return fmt::format("attempt at {} failed after {} ms: {}, status {}", stringField(line.fields, "endpoint"), numberField(line.fields, "after_ms"), stringField(line.fields, "result"), numberField(line.fields, "status"));
}

// The processes and the time of a request, taken from its own log lines.
struct RequestSpan {
    std::set<std::string> entryVms; ///< The VMs of the entries that logged it.
    std::set<std::string> endpoints;
    Milliseconds begin = Milliseconds::max();
    Milliseconds end = Milliseconds::min();
};

static RequestSpan findRequestSpan(const std::vector<LogLine>& lines, const std::string& request)
{
    RequestSpan span;
    for (const auto& line : lines) {
        if (stringField(line.fields, "request") != request)
            continue;
        span.entryVms.insert(line.vm);
        if (auto endpoint = stringField(line.fields, "endpoint"); !endpoint.empty())
            span.endpoints.insert(endpoint);
        span.begin = std::min(span.begin, line.time - Milliseconds(numberField(line.fields, "total_ms")));
        span.end = std::max(span.end, line.time);
    }
    return span;
}

// Whether the line tells of a change in what its entry knew, such as a lost store or a restart.
static bool isClusterViewEvent(const LogLine& line)
{
    static const std::set<std::string> events { "store_lost", "store_regained", "took_peers_belief", "left_peers_belief", "started", "stopping", "reloaded", "log_lines_dropped" };
    return events.count(line.event) != 0 || (line.event == "belief_changed" && stringField(line.fields, "what") == "configuration");
}

// Whether the line tells of an event at one of the endpoints. The key of a cluster view change ends with the endpoint's name.
static bool isEndpointEvent(const LogLine& line, const std::set<std::string>& endpoints)
{
    auto key = stringField(line.fields, "key");
    auto concernsEndpoint = [&](const std::string& endpoint) { return stringField(line.fields, "endpoint") == endpoint || (key.size() > endpoint.size() && key.compare(key.size() - endpoint.size(), endpoint.size(), endpoint) == 0); };
    static const std::set<std::string> events { "endpoint_crashed", "engine_noticed", "belief_changed", "endpoint_set_aside", "endpoint_set_aside_ended" };
    return events.count(line.event) != 0 && std::any_of(endpoints.begin(), endpoints.end(), concernsEndpoint);
}

// Whether a line that isn't the request's own may explain what happened to it.
static bool mayExplainRequest(const LogLine& line, const RequestSpan& span)
{
    bool isInTime = line.time >= span.begin - explanationLookback && line.time <= span.end;
    bool isFromEntry = span.entryVms.count(line.vm) != 0;
    return isInTime && isFromEntry && (isClusterViewEvent(line) || isEndpointEvent(line, span.endpoints));
}

std::string formatRequestTimeline(const LogLines& log, const std::string& request)
{
    auto span = findRequestSpan(log.lines, request);
    if (span.entryVms.empty())
        return {};
    auto text = fmt::format("request {}\n", request);
    for (const auto& line : log.lines) {
        bool isOwnLine = stringField(line.fields, "request") == request;
        if (isOwnLine || mayExplainRequest(line, span))
            text += fmt::format("{:>+8} ms  {}{}  {}\n", (line.time - span.begin).count(), isOwnLine ? "" : "(meanwhile) ", line.vm, describeLine(line));
    }
    return text;
}

} // namespace bilberry
