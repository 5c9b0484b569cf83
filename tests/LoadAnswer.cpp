#include "LoadAnswer.h"
#include "StandInEngine.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace bilberry::standin {

namespace {

using nlohmann::json;

/// The complete text with which the engine stand-ins answer the prompt.
std::string expectedText(const RequestPlan& plan, const Call& call)
{
    const std::string hash = promptHash(call.prompt);
    std::string text;
    for (int token = 1; token <= plan.maxTokens; ++token)
        text += (token > 1 ? " " : "") + hash + "-" + std::to_string(token);
    return text;
}

/// Returns the text of one completion object or chunk, and adds its fingerprint to the answer.
std::string completionText(const json& object, Answer& answer)
{
    answer.fingerprints.insert(object.value("system_fingerprint", ""));
    return object.at("choices").at(0).value("text", "");
}

/// Classifies a prefix of the expected text as truncated and any other difference as wrong.
Verdict compareText(const std::string& text, const std::string& expected)
{
    if (text == expected)
        return Verdict::Ok;
    return expected.compare(0, text.size(), text) == 0 ? Verdict::Truncated : Verdict::Wrong;
}

Verdict checkFingerprints(const std::vector<std::string>& expected, const Answer& answer)
{
    if (answer.fingerprints.size() != 1)
        return Verdict::VersionMismatch;
    const bool isExpected = expected.empty() || std::find(expected.begin(), expected.end(), *answer.fingerprints.begin()) != expected.end();
    return isExpected ? Verdict::Ok : Verdict::VersionMismatch;
}

Verdict checkCompletion(const RequestPlan& plan, const Call& call, const json& object, Answer& answer)
{
    return compareText(completionText(object, answer), expectedText(plan, call));
}

Verdict checkPlainAnswer(const Call& call, const json& object)
{
    const bool matchesRequest = object.value("body_sha256", "") == sha256Hex(call.prompt) && object.value("key", "") == call.idempotencyKey;
    return matchesRequest ? Verdict::Ok : Verdict::Wrong;
}

Verdict parseRefusal(const std::string& body, Answer& answer)
{
    json problem = json::parse(body, nullptr, false);
    if (!problem.is_object())
        problem = json::object();
    answer.reason = problem.value("reason", "");
    if (answer.reason.empty())
        answer.reason = "http_" + std::to_string(answer.status);
    if (answer.outcome.empty())
        answer.outcome = problem.value("outcome", "");
    return Verdict::Refused;
}

/// One server-sent event.
struct Event {
    std::string name;
    std::string data;
    int id = 0;
};

Event parseEvent(const std::string& text)
{
    Event event;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        const size_t colon = line.find(": ");
        const std::string field = line.substr(0, colon);
        const std::string value = colon == std::string::npos ? "" : line.substr(colon + 2);
        if (field == "data")
            event.data += value;
        else if (field == "event")
            event.name = value;
        else if (field == "id")
            event.id = static_cast<int>(std::strtol(value.c_str(), nullptr, 10));
    }
    return event;
}

Verdict checkStream(const RequestPlan& plan, const Call& call, Answer& answer)
{
    const std::string expected = expectedText(plan, call);
    std::string text;
    int lastId = 0;
    bool isDone = false;
    size_t start = 0;
    for (size_t end = answer.body.find("\n\n"); end != std::string::npos; end = answer.body.find("\n\n", start)) {
        const Event event = parseEvent(answer.body.substr(start, end - start));
        start = end + 2;
        if (event.name == "error")
            return compareText(text, expected) == Verdict::Wrong ? Verdict::Wrong : parseRefusal(event.data, answer);
        if (event.data == "[DONE]")
            isDone = true;
        else if (event.data.empty())
            continue;
        else if (event.id != ++lastId)
            return Verdict::Wrong;
        else
            text += completionText(json::parse(event.data), answer);
    }
    const Verdict verdict = compareText(text, expected);
    return verdict == Verdict::Ok && (!isDone || answer.isTransportError) ? Verdict::Truncated : verdict;
}

Verdict checkBody(const RequestPlan& plan, const Call& call, Answer& answer)
{
    if (plan.isModel && plan.isStream)
        return checkStream(plan, call, answer);
    const json object = json::parse(answer.body, nullptr, false);
    if (answer.isTransportError || !object.is_object())
        return Verdict::Truncated;
    return plan.isModel ? checkCompletion(plan, call, object, answer) : checkPlainAnswer(call, object);
}

} // namespace

void checkAnswer(const RequestPlan& plan, const std::vector<std::string>& expectedFingerprints, const Call& call, Answer& answer)
{
    answer.verdict = Verdict::Lost;
    if (answer.status == 0)
        return;
    if (answer.status != 200) {
        answer.verdict = parseRefusal(answer.body, answer);
        return;
    }
    try {
        answer.verdict = checkBody(plan, call, answer);
        if (answer.verdict == Verdict::Ok && plan.isModel)
            answer.verdict = checkFingerprints(expectedFingerprints, answer);
    } catch (const json::exception&) {
        answer.verdict = Verdict::Wrong;
    }
}

} // namespace bilberry::standin
