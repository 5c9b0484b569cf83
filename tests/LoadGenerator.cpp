/// Load generator: sends checked requests to entries and prints one JSON object with what came back.
#include "StandInHash.h"
#include "StandInHttp.h"
#include "Types.h"
#include <atomic>
#include <cmath>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <thread>

DEFINE_string(entries, "", "IP:port,IP:port of the entries");
DEFINE_double(rate, 0, "requests per second, open loop; 0 = closed loop");
DEFINE_int32(workers, 8, "threads, each with one request at a time");
DEFINE_double(seconds, 5, "how long requests are sent");
DEFINE_string(account, "court-1", "accounts with weights: court-1:8,court-2:1");
DEFINE_string(path, "/v1/completions", "path of the requests; one that does not start with /v1/ is a plain service's");
DEFINE_string(model, "drafter", "model of completions");
DEFINE_int32(max_tokens, 16, "words of an answer");
DEFINE_bool(stream, false, "ask for server-sent events");
DEFINE_int32(timeout_ms, 10000, "how long a caller waits for one attempt");
DEFINE_string(key_prefix, "", "makes each request unrepeatable, with Idempotency-Key <prefix>-<seed>-<number>");
DEFINE_int32(resend, 3, "how often an unrepeatable request is sent again");
DEFINE_uint64(seed, 1, "seed of prompts and accounts");
DEFINE_string(expect_fingerprints, "", "comma list: an answer with another fingerprint counts as mixed");
DEFINE_bool(honour_retry, false, "wait for Retry-After, one second at most");
DEFINE_bool(trace, false, "print each request on standard error: t_ms status reason account");

namespace bilberry::standin {

namespace {

using nlohmann::json;

std::atomic<bool> isStopping { false };
constexpr Seconds maximumRetryAfter { 1 };

struct Account {
    std::string name;
    double weight = 1;
};

/// What the command line asks for, parsed once.
struct Plan {
    std::vector<std::string> entries;
    std::vector<Account> accounts;
    std::vector<std::string> fingerprints;
    Milliseconds timeout { 0 };
    bool isModel = true;
    TimePoint start {};
    TimePoint end {};
};

/// One request of a caller, the same for all its attempts.
struct Call {
    uint64_t number = 0;
    std::string account;
    std::string prompt;
    std::string key; ///< Empty when the request may be repeated.
    std::string keyMinted;
    TimePoint due {};
};

enum class Verdict { Ok,
    Refused,
    Lost,
    Cut,
    Wrong,
    Mixed };

/// What one attempt brought.
struct Answer {
    int status = 0;
    Verdict verdict = Verdict::Lost;
    std::string reason;
    std::string outcome;
    std::string body;
    std::set<std::string> fingerprints;
    std::vector<TimePoint> events;
    double retryAfter = 0;
    bool isTransportError = false;
};

struct AccountTally {
    uint64_t sent = 0;
    uint64_t ok = 0;
};

/// Results of one worker; merged at the end.
struct Tally {
    uint64_t sent = 0;
    uint64_t resent = 0;
    std::map<Verdict, uint64_t> verdicts;
    std::map<std::string, uint64_t> refused;
    std::map<std::string, uint64_t> outcomes;
    std::map<std::string, uint64_t> fingerprints;
    std::map<std::string, AccountTally> accounts;
    std::vector<Duration> latency;
    std::vector<Duration> firstToken;
    std::vector<Duration> interToken;
    Duration latestStart { 0 };
};

using Clients = std::map<std::string, std::unique_ptr<httplib::Client>>;

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

std::vector<Account> parseAccounts(const std::string& text)
{
    std::vector<Account> accounts;
    for (const std::string& part : split(text)) {
        const size_t colon = part.find(':');
        accounts.push_back({ part.substr(0, colon), colon == std::string::npos ? 1.0 : std::strtod(part.c_str() + colon + 1, nullptr) });
    }
    return accounts;
}

Plan parsePlan()
{
    Plan plan;
    plan.entries = split(FLAGS_entries);
    plan.accounts = parseAccounts(FLAGS_account);
    plan.fingerprints = split(FLAGS_expect_fingerprints);
    plan.timeout = Milliseconds(FLAGS_timeout_ms);
    plan.isModel = FLAGS_path.rfind("/v1/", 0) == 0;
    plan.start = Clock::now();
    plan.end = plan.start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(FLAGS_seconds));
    return plan;
}

const std::string& chooseAccount(const Plan& plan, uint64_t number)
{
    std::vector<double> weights;
    for (const Account& account : plan.accounts)
        weights.push_back(account.weight);
    std::mt19937_64 generator(FLAGS_seed * 1'000'003 + number);
    return plan.accounts[std::discrete_distribution<size_t>(weights.begin(), weights.end())(generator)].name;
}

Call makeCall(const Plan& plan, uint64_t number, TimePoint due)
{
    Call call;
    call.number = number;
    call.due = due;
    call.account = chooseAccount(plan, number);
    const std::string identity = std::to_string(FLAGS_seed) + "-" + std::to_string(number);
    call.prompt = "prompt " + identity;
    if (!FLAGS_key_prefix.empty()) {
        const auto minted = std::chrono::system_clock::now().time_since_epoch();
        call.key = FLAGS_key_prefix + "-" + identity;
        call.keyMinted = std::to_string(std::chrono::duration_cast<Milliseconds>(minted).count());
    }
    return call;
}

std::string requestBody(const Plan& plan, const Call& call)
{
    if (!plan.isModel)
        return call.prompt;
    json body { { "model", FLAGS_model }, { "max_tokens", FLAGS_max_tokens }, { "stream", FLAGS_stream } };
    if (FLAGS_path.find("chat") == std::string::npos)
        body["prompt"] = call.prompt;
    else
        body["messages"] = json::array({ { { "role", "user" }, { "content", call.prompt } } });
    return body.dump();
}

httplib::Request makeRequest(const Plan& plan, const Call& call)
{
    httplib::Request request;
    request.method = "POST";
    request.path = FLAGS_path;
    request.body = requestBody(plan, call);
    request.headers = { { "X-Client-Account", call.account }, { "X-Request-Timeout-Ms", std::to_string(FLAGS_timeout_ms) },
        { "Content-Type", plan.isModel ? "application/json" : "application/octet-stream" } };
    if (!call.key.empty()) {
        request.set_header("Idempotency-Key", call.key);
        request.set_header("Idempotency-Key-Minted", call.keyMinted);
    }
    return request;
}

/// Text that the engines answer to the prompt.
std::string expectedText(const Call& call)
{
    const std::string hash = promptHash(call.prompt);
    std::string text;
    for (int token = 1; token <= FLAGS_max_tokens; ++token)
        text += (token > 1 ? " " : "") + hash + "-" + std::to_string(token);
    return text;
}

/// Text of one completion object or chunk; keeps its fingerprint.
std::string completionText(const json& object, Answer& answer)
{
    answer.fingerprints.insert(object.value("system_fingerprint", ""));
    const json& choice = object.at("choices").at(0);
    for (const char* part : { "delta", "message" }) {
        if (choice.contains(part))
            return choice.at(part).value("content", "");
    }
    return choice.value("text", "");
}

/// A shortened right answer is cut, any other difference is wrong.
Verdict compareText(const std::string& text, const std::string& expected)
{
    if (text == expected)
        return Verdict::Ok;
    return expected.compare(0, text.size(), text) == 0 ? Verdict::Cut : Verdict::Wrong;
}

Verdict judgeFingerprints(const Plan& plan, const Answer& answer)
{
    if (answer.fingerprints.size() != 1)
        return Verdict::Mixed;
    const std::string& fingerprint = *answer.fingerprints.begin();
    const auto& expected = plan.fingerprints;
    const bool isExpected = expected.empty() || std::find(expected.begin(), expected.end(), fingerprint) != expected.end();
    return isExpected ? Verdict::Ok : Verdict::Mixed;
}

Verdict judgeCompletion(const Plan& plan, const Call& call, Answer& answer)
{
    const json object = json::parse(answer.body, nullptr, false);
    if (!object.is_object())
        return Verdict::Cut;
    const Verdict verdict = compareText(completionText(object, answer), expectedText(call));
    return verdict == Verdict::Ok ? judgeFingerprints(plan, answer) : verdict;
}

Verdict judgePlain(const Call& call, const Answer& answer)
{
    const json object = json::parse(answer.body, nullptr, false);
    if (!object.is_object())
        return Verdict::Cut;
    const bool isOwn = object.value("body_sha256", "") == sha256Hex(call.prompt) && object.value("key", "") == call.key;
    return isOwn ? Verdict::Ok : Verdict::Wrong;
}

void readRefusal(const std::string& body, Answer& answer)
{
    const json problem = json::parse(body, nullptr, false);
    answer.verdict = Verdict::Refused;
    answer.reason = problem.is_object() ? problem.value("reason", "") : "";
    if (problem.is_object() && answer.outcome.empty())
        answer.outcome = problem.value("outcome", "");
    if (answer.reason.empty())
        answer.reason = "http_" + std::to_string(answer.status);
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

Verdict judgeStream(const Plan& plan, const Call& call, Answer& answer)
{
    std::string text;
    int lastId = 0;
    bool isDone = false;
    size_t start = 0;
    for (size_t end = answer.body.find("\n\n"); end != std::string::npos; end = answer.body.find("\n\n", start)) {
        const Event event = parseEvent(answer.body.substr(start, end - start));
        start = end + 2;
        if (event.name == "error") {
            readRefusal(event.data, answer);
            return compareText(text, expectedText(call)) == Verdict::Wrong ? Verdict::Wrong : Verdict::Refused;
        }
        if (event.data == "[DONE]")
            isDone = true;
        else if (event.data.empty())
            continue;
        else if (event.id != ++lastId)
            return Verdict::Wrong;
        else
            text += completionText(json::parse(event.data), answer);
    }
    const Verdict verdict = compareText(text, expectedText(call));
    if (verdict != Verdict::Ok)
        return verdict;
    return isDone && !answer.isTransportError ? judgeFingerprints(plan, answer) : Verdict::Cut;
}

Verdict judge(const Plan& plan, const Call& call, Answer& answer)
{
    if (answer.status == 0)
        return Verdict::Lost;
    if (answer.status != 200) {
        readRefusal(answer.body, answer);
        return Verdict::Refused;
    }
    try {
        if (plan.isModel && FLAGS_stream)
            return judgeStream(plan, call, answer);
        if (answer.isTransportError)
            return Verdict::Cut;
        return plan.isModel ? judgeCompletion(plan, call, answer) : judgePlain(call, answer);
    } catch (const json::exception&) {
        return Verdict::Wrong;
    }
}

httplib::Client& clientOf(const Plan& plan, Clients& clients, const std::string& entry)
{
    auto& client = clients[entry];
    if (client == nullptr) {
        client = std::make_unique<httplib::Client>("http://" + entry);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(plan.timeout);
        client->set_read_timeout(plan.timeout);
    }
    return *client;
}

/// Sends the request once and judges the answer.
Answer attempt(const Plan& plan, const Call& call, httplib::Client& client)
{
    Answer answer;
    const TimePoint deadline = Clock::now() + plan.timeout;
    httplib::Request request = makeRequest(plan, call);
    request.response_handler = [&](const httplib::Response& response) {
        answer.status = response.status;
        answer.outcome = response.get_header_value("X-Bilberry-Outcome");
        answer.retryAfter = std::strtod(response.get_header_value("Retry-After").c_str(), nullptr);
        return true;
    };
    request.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
        answer.body.append(data, size);
        answer.events.push_back(Clock::now());
        return Clock::now() < deadline;
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    answer.isTransportError = !client.send(request, response, error);
    answer.verdict = judge(plan, call, answer);
    return answer;
}

bool mayResend(const Call& call, const Answer& answer)
{
    if (call.key.empty())
        return false;
    if (answer.verdict == Verdict::Lost || answer.verdict == Verdict::Cut)
        return true;
    return answer.verdict == Verdict::Refused && (answer.outcome == "not-run" || (answer.status >= 500 && answer.outcome == "outcome-unknown"));
}

void waitRetryAfter(const Answer& answer)
{
    const std::chrono::duration<double> asked(answer.retryAfter);
    if (FLAGS_honour_retry)
        std::this_thread::sleep_for(std::min<std::chrono::duration<double>>(asked, maximumRetryAfter));
}

void addTimes(const Call& call, const Answer& answer, Tally& tally)
{
    tally.latency.push_back(Clock::now() - call.due);
    if (!FLAGS_stream || answer.events.empty())
        return;
    tally.firstToken.push_back(answer.events.front() - call.due);
    for (size_t i = 1; i < answer.events.size(); ++i)
        tally.interToken.push_back(answer.events[i] - answer.events[i - 1]);
}

void addAnswer(const Plan& plan, const Call& call, const Answer& answer, Tally& tally)
{
    ++tally.verdicts[answer.verdict];
    AccountTally& account = tally.accounts[call.account];
    ++account.sent;
    if (answer.verdict == Verdict::Refused)
        ++tally.refused[answer.reason];
    if (!answer.outcome.empty())
        ++tally.outcomes[answer.outcome];
    for (const std::string& fingerprint : answer.fingerprints)
        ++tally.fingerprints[fingerprint];
    if (answer.verdict == Verdict::Ok) {
        ++account.ok;
        addTimes(call, answer, tally);
    }
    if (FLAGS_trace) {
        static const std::map<Verdict, std::string> words { { Verdict::Ok, "ok" }, { Verdict::Lost, "lost" }, { Verdict::Cut, "cut" }, { Verdict::Wrong, "wrong" }, { Verdict::Mixed, "mixed" } };
        const auto time = std::chrono::duration_cast<Milliseconds>(Clock::now() - plan.start).count();
        const std::string reason = answer.verdict == Verdict::Refused ? answer.reason : words.at(answer.verdict);
        std::cerr << std::to_string(time) + " " + std::to_string(answer.status) + " " + reason + " " + call.account + "\n";
    }
}

/// Sends the request, again where that is allowed, and books its last answer.
void runCall(const Plan& plan, const Call& call, Clients& clients, Tally& tally)
{
    ++tally.sent;
    Answer answer;
    for (int number = 0; number <= FLAGS_resend; ++number) {
        if (number > 0)
            ++tally.resent;
        const std::string& entry = plan.entries[(call.number + static_cast<uint64_t>(number)) % plan.entries.size()];
        answer = attempt(plan, call, clientOf(plan, clients, entry));
        if (answer.verdict == Verdict::Refused)
            waitRetryAfter(answer);
        if (!mayResend(call, answer))
            break;
    }
    addAnswer(plan, call, answer, tally);
}

TimePoint dueTime(const Plan& plan, uint64_t number)
{
    if (FLAGS_rate <= 0)
        return Clock::now();
    const std::chrono::duration<double> offset(static_cast<double>(number) / FLAGS_rate);
    return plan.start + std::chrono::duration_cast<Duration>(offset);
}

/// Sleeps until the time. Returns false when sending stops first.
bool sleepUntilDue(TimePoint due)
{
    constexpr Milliseconds stopCheckInterval { 50 };
    while (!isStopping && Clock::now() < due)
        std::this_thread::sleep_until(std::min<TimePoint>(due, Clock::now() + stopCheckInterval));
    return !isStopping;
}

void runWorker(const Plan& plan, std::atomic<uint64_t>& nextNumber, Tally& tally)
{
    Clients clients;
    while (true) {
        const uint64_t number = nextNumber++;
        const TimePoint due = dueTime(plan, number);
        if (due >= plan.end || !sleepUntilDue(due))
            return;
        tally.latestStart = std::max(tally.latestStart, Clock::now() - due);
        runCall(plan, makeCall(plan, number, due), clients, tally);
    }
}

template <typename Key>
void mergeMap(std::map<Key, uint64_t>& into, const std::map<Key, uint64_t>& from)
{
    for (const auto& [key, count] : from)
        into[key] += count;
}

void mergeTimes(std::vector<Duration>& into, const std::vector<Duration>& from)
{
    into.insert(into.end(), from.begin(), from.end());
}

void mergeTally(Tally& into, const Tally& from)
{
    into.sent += from.sent;
    into.resent += from.resent;
    mergeMap(into.verdicts, from.verdicts);
    mergeMap(into.refused, from.refused);
    mergeMap(into.outcomes, from.outcomes);
    mergeMap(into.fingerprints, from.fingerprints);
    for (const auto& [name, account] : from.accounts) {
        into.accounts[name].sent += account.sent;
        into.accounts[name].ok += account.ok;
    }
    mergeTimes(into.latency, from.latency);
    mergeTimes(into.firstToken, from.firstToken);
    mergeTimes(into.interToken, from.interToken);
    into.latestStart = std::max(into.latestStart, from.latestStart);
}

double inMilliseconds(Duration duration)
{
    return std::round(std::chrono::duration<double, std::micro>(duration).count()) / 1000;
}

/// Nearest-rank percentile in milliseconds; null without values. Precondition: sorted.
json percentile(const std::vector<Duration>& sorted, double share)
{
    if (sorted.empty())
        return nullptr;
    const auto rank = static_cast<size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return inMilliseconds(sorted[std::max<size_t>(rank, 1) - 1]);
}

json percentiles(std::vector<Duration> times)
{
    std::sort(times.begin(), times.end());
    return { { "p50", percentile(times, 0.5) }, { "p95", percentile(times, 0.95) }, { "p99", percentile(times, 0.99) }, { "max", percentile(times, 1) } };
}

json report(const Plan& plan, Tally& total)
{
    json accounts = json::object();
    for (const auto& [name, account] : total.accounts)
        accounts[name] = { { "sent", account.sent }, { "ok", account.ok } };
    return { { "sent", total.sent }, { "resent", total.resent }, { "ok", total.verdicts[Verdict::Ok] }, { "refused", total.refused },
        { "outcome", total.outcomes }, { "lost", total.verdicts[Verdict::Lost] }, { "cut", total.verdicts[Verdict::Cut] },
        { "wrong", total.verdicts[Verdict::Wrong] }, { "mixed", total.verdicts[Verdict::Mixed] },
        { "ttft_ms", percentiles(total.firstToken) }, { "latency_ms", percentiles(total.latency) }, { "inter_token_ms", percentiles(total.interToken) },
        { "late_start_ms", inMilliseconds(total.latestStart) }, { "per_account", accounts }, { "per_fingerprint", total.fingerprints },
        { "seconds", std::chrono::duration<double>(Clock::now() - plan.start).count() } };
}

void runLoad(const Plan& plan)
{
    std::atomic<uint64_t> nextNumber { 0 };
    std::vector<Tally> tallies(static_cast<size_t>(FLAGS_workers));
    std::vector<std::thread> workers;
    workers.reserve(tallies.size());
    for (Tally& tally : tallies)
        workers.emplace_back([&] { runWorker(plan, nextNumber, tally); });
    for (std::thread& worker : workers)
        worker.join();
    Tally total;
    for (const Tally& tally : tallies)
        mergeTally(total, tally);
    std::cout << report(plan, total).dump() << '\n';
}

} // namespace

} // namespace bilberry::standin

int main(int argc, char** argv)
{
    using namespace bilberry::standin;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, [](int) { isStopping = true; });
    const Plan plan = parsePlan();
    if (plan.entries.empty() || plan.accounts.empty()) {
        std::cerr << "--entries and --account are required\n";
        return 2;
    }
    runLoad(plan);
    return 0;
}
