#include "RouteReport.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

// Each value is written in hexadecimal, so that it needs no escapes.
static std::string encodeField(std::string_view name, const std::string& value)
{
    return absl::StrCat(absl::string_view(name.data(), name.size()), "=", absl::BytesToHexString(value));
}

static bool isHex(absl::string_view text)
{
    return text.size() % 2 == 0 && text.find_first_not_of("0123456789abcdef") == absl::string_view::npos;
}

static std::string partsToText(const std::vector<uint64_t>& parts)
{
    return absl::StrJoin(parts, ",", [](std::string* out, uint64_t part) { absl::StrAppend(out, absl::Hex(part)); });
}

std::string toTarget(const RouteQuestion& question)
{
    return fmt::format("{}?{}&{}&{}&{}&{}&{}", routeQuestionPath, encodeField("host", question.host), encodeField("path", question.path), encodeField("account", question.account),
        encodeField("model", question.model), encodeField("prompt_tokens", std::to_string(question.promptTokens)), encodeField("parts", partsToText(question.sharedPromptParts)));
}

absl::StatusOr<std::vector<uint64_t>> parsePromptParts(std::string_view text)
{
    std::vector<uint64_t> parts;
    std::vector<std::string> words = absl::StrSplit(absl::string_view(text.data(), text.size()), ',', absl::SkipEmpty());
    for (const auto& word : words) {
        uint64_t part = 0;
        if (!absl::SimpleHexAtoi(word, &part))
            return absl::InvalidArgumentError(absl::StrCat("parts: \"", word, "\" is not a hexadecimal ID"));
        parts.push_back(part);
    }
    return parts;
}

static absl::Status readField(absl::string_view name, const std::string& value, RouteQuestion& question)
{
    if (name == "host")
        question.host = value;
    else if (name == "path")
        question.path = value;
    else if (name == "account")
        question.account = value;
    else if (name == "model")
        question.model = value;
    else if (name == "prompt_tokens") {
        if (!absl::SimpleAtoi(value, &question.promptTokens))
            return absl::InvalidArgumentError(absl::StrCat("prompt_tokens: \"", value, "\" is not a number"));
    } else if (name == "parts") {
        auto parts = parsePromptParts(value);
        if (!parts.ok())
            return parts.status();
        question.sharedPromptParts = std::move(*parts);
    } else
        return absl::InvalidArgumentError(absl::StrCat(name, ": no such field"));
    return absl::OkStatus();
}

absl::StatusOr<RouteQuestion> parseRouteQuestion(std::string_view target)
{
    RouteQuestion question;
    auto query = target.find('?');
    if (query == std::string_view::npos)
        return absl::InvalidArgumentError("host: missing");
    std::vector<std::string> fields = absl::StrSplit(absl::string_view(target.data(), target.size()).substr(query + 1), '&', absl::SkipEmpty());
    for (const auto& field : fields) {
        std::pair<std::string, std::string> words = absl::StrSplit(field, absl::MaxSplits('=', 1));
        if (!isHex(words.second))
            return absl::InvalidArgumentError(absl::StrCat(words.first, ": not written in hexadecimal"));
        auto status = readField(words.first, absl::HexStringToBytes(words.second), question);
        if (!status.ok())
            return status;
    }
    if (question.host.empty())
        return absl::InvalidArgumentError("host: missing");
    if (question.path.empty() || question.path.front() != '/')
        return absl::InvalidArgumentError("path: doesn't begin with a slash");
    return question;
}

// Times that aren't known are written as null.
static json toJson(Milliseconds time)
{
    return time == Milliseconds::max() ? json() : json(time.count());
}

static json toJson(const RouteCandidate& candidate)
{
    return { { "endpoint", candidate.endpoint }, { "data_centre", candidate.dataCentre }, { "load", candidate.load }, { "limit", candidate.limit }, { "load_age_ms", toJson(candidate.loadAge) }, { "exclusion", candidate.exclusion } };
}

json toJson(const RouteReport& report)
{
    json candidates = json::array();
    for (const auto& candidate : report.candidates)
        candidates.push_back(toJson(candidate));
    return { { "outcome", report.outcome }, { "reason", report.reason }, { "status", report.status }, { "retry_after_ms", toJson(report.retryAfter) }, { "route", report.route }, { "service", report.service },
        { "account_priority", report.accountPriority }, { "route_priority", report.routePriority }, { "is_starved", report.isStarved }, { "expected_wait_ms", toJson(report.expectedWait) },
        { "allowed_wait_ms", toJson(report.allowedWait) }, { "expected_first_event_ms", toJson(report.expectedFirstEvent) }, { "waiting_ahead", report.waitingAhead }, { "chosen", report.chosen },
        { "generation", report.generation }, { "view_age_ms", toJson(report.viewAge) }, { "candidates", candidates } };
}

static Milliseconds readTime(const json& value)
{
    return value.is_null() ? Milliseconds::max() : Milliseconds(value.get<int64_t>());
}

static RouteCandidate readCandidate(const json& row)
{
    return { row.at("endpoint").get<std::string>(), row.at("data_centre").get<std::string>(), row.at("load").get<double>(), row.at("limit").get<double>(), readTime(row.at("load_age_ms")), row.at("exclusion").get<std::string>() };
}

static RouteReport readReport(const json& root)
{
    RouteReport report;
    report.outcome = root.at("outcome").get<std::string>();
    report.reason = root.at("reason").get<std::string>();
    report.status = root.at("status").get<int>();
    report.retryAfter = readTime(root.at("retry_after_ms"));
    report.route = root.at("route").get<std::string>();
    report.service = root.at("service").get<std::string>();
    report.accountPriority = root.at("account_priority").get<int>();
    report.routePriority = root.at("route_priority").get<int>();
    report.isStarved = root.at("is_starved").get<bool>();
    report.expectedWait = readTime(root.at("expected_wait_ms"));
    report.allowedWait = readTime(root.at("allowed_wait_ms"));
    report.expectedFirstEvent = readTime(root.at("expected_first_event_ms"));
    report.waitingAhead = root.at("waiting_ahead").get<size_t>();
    report.chosen = root.at("chosen").get<std::string>();
    report.generation = root.at("generation").get<uint64_t>();
    report.viewAge = readTime(root.at("view_age_ms"));
    for (const auto& row : root.at("candidates"))
        report.candidates.push_back(readCandidate(row));
    return report;
}

absl::StatusOr<RouteReport> parseRouteReport(const std::string& text)
{
    try {
        return readReport(json::parse(text));
    } catch (const json::exception& fault) {
        return absl::InvalidArgumentError(fault.what());
    }
}

static std::string timeText(Milliseconds time)
{
    return time == Milliseconds::max() ? "unknown" : fmt::format("{} ms", time.count());
}

static std::string outcomeLine(const RouteReport& report)
{
    if (report.outcome == "refused")
        return fmt::format("refused: {} ({}), Retry-After {}\n", report.reason, report.status, timeText(report.retryAfter));
    if (report.outcome == "waits")
        return fmt::format("waits: {} ahead, expected {}, at most {}\n", report.waitingAhead, timeText(report.expectedWait), timeText(report.allowedWait));
    return fmt::format("sent at once, for instance to {}\n", report.chosen);
}

std::string formatRouteReport(const RouteReport& report)
{
    auto text = outcomeLine(report);
    if (report.route.empty())
        return text;
    text += fmt::format("route {}, service {}, configuration {}, cluster view {} old\n", report.route, report.service, report.generation, timeText(report.viewAge));
    text += fmt::format("rank: account {}, route {}{}\n", report.accountPriority, report.routePriority, report.isStarved ? ", goes first since its priority had too few places" : "");
    if (report.expectedFirstEvent > Milliseconds(0))
        text += fmt::format("first event expected {} after sending, at an otherwise full engine\n", timeText(report.expectedFirstEvent));
    for (const auto& candidate : report.candidates) {
        auto state = candidate.exclusion == "none" ? "can take it" : candidate.exclusion;
        text += fmt::format("  {:<14} {:<12} load {:4.1f} of {:2.0f}, stated {} ago: {}\n", candidate.endpoint, candidate.dataCentre, candidate.load, candidate.limit, timeText(candidate.loadAge), state);
    }
    return text;
}

} // namespace bilberry
