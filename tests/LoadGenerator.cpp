/// Load generator: sends requests to entries, checks the answers and prints the results as one JSON object.
#include "LoadTally.h"
#include <absl/strings/str_split.h>
#include <atomic>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(entries, "", "comma-separated IP:port addresses of the entries");
DEFINE_double(rate, 0, "requests per second of an open loop; 0 = closed loop");
DEFINE_int32(workers, 8, "number of threads; each sends one request at a time");
DEFINE_double(seconds, 5, "for how many seconds requests are sent");
DEFINE_string(account, "court-1", "client accounts with weights, as in court-1:8,court-2:1");
DEFINE_string(path, "/v1/completions", "path of the requests; a path that does not start with /v1/ belongs to a plain service");
DEFINE_string(model, "drafter", "model that completions are requested from");
DEFINE_int32(max_tokens, 16, "number of tokens of an answer");
DEFINE_bool(stream, false, "request server-sent events");
DEFINE_int32(timeout_ms, 10000, "how long a caller waits for one attempt");
DEFINE_string(key_prefix, "", "if set, each request has the idempotency key <prefix>-<seed>-<number> and must not be executed twice");
DEFINE_int32(resend, 3, "how many times a request with an idempotency key is sent again after an answer that it was not executed");
DEFINE_int32(resend_lost, 0, "how many times a request without an idempotency key is sent again after a lost or truncated answer");
DEFINE_uint64(seed, 1, "seed for the choice of prompts and client accounts");
DEFINE_string(expect_fingerprints, "", "comma-separated list; an answer with another fingerprint is counted as mixed");

namespace bilberry::standin {

namespace {

std::atomic<bool> isStopping { false };

/// The parsed command line.
struct LoadPlan {
    RequestPlan requests;
    std::vector<std::string> entries;
    std::vector<std::string> fingerprints;
    TimePoint start {};
    TimePoint end {};
};

using Clients = std::map<std::string, std::unique_ptr<httplib::Client>>;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

LoadPlan parseLoadPlan()
{
    const bool isModel = FLAGS_path.rfind("/v1/", 0) == 0;
    LoadPlan plan;
    plan.requests = { parseAccounts(FLAGS_account), FLAGS_path, FLAGS_model, FLAGS_key_prefix, FLAGS_max_tokens, isModel, FLAGS_stream, FLAGS_seed, Milliseconds(FLAGS_timeout_ms) };
    plan.entries = absl::StrSplit(FLAGS_entries, ',', absl::SkipEmpty());
    plan.fingerprints = absl::StrSplit(FLAGS_expect_fingerprints, ',', absl::SkipEmpty());
    plan.start = Clock::now();
    plan.end = plan.start + fromSeconds(FLAGS_seconds);
    return plan;
}

httplib::Client& clientForEntry(const LoadPlan& plan, Clients& clients, const std::string& entry)
{
    auto& client = clients[entry];
    if (client == nullptr) {
        client = std::make_unique<httplib::Client>("http://" + entry);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(plan.requests.timeout);
        client->set_read_timeout(plan.requests.timeout);
    }
    return *client;
}

/// Sends the request once and checks the answer.
Answer sendAttempt(const LoadPlan& plan, const Call& call, httplib::Client& client)
{
    Answer answer;
    const TimePoint deadline = Clock::now() + plan.requests.timeout;
    httplib::Request request = makeRequest(plan.requests, call);
    request.response_handler = [&](const httplib::Response& response) {
        answer.status = response.status;
        answer.outcome = response.get_header_value("X-Bilberry-Outcome");
        return true;
    };
    request.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
        const TimePoint now = Clock::now();
        answer.body.append(data, size);
        answer.firstByteTime = answer.firstByteTime.value_or(now);
        return now < deadline;
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    answer.isTransportError = !client.send(request, response, error);
    checkAnswer(plan.requests, plan.fingerprints, call, answer);
    return answer;
}

bool mayResend(const Call& call, const Answer& answer, int attempts)
{
    if (attempts > (call.idempotencyKey.empty() ? FLAGS_resend_lost : FLAGS_resend))
        return false;
    // A request with an idempotency key is sent again only after an answer which states that it was not executed.
    if (!call.idempotencyKey.empty())
        return answer.verdict == Verdict::Refused && answer.outcome == "not-run";
    return answer.verdict == Verdict::Lost || answer.verdict == Verdict::Truncated;
}

/// Sends the request, repeats it through the next entry where that is allowed, and counts the last answer.
void runCall(const LoadPlan& plan, const Call& call, Clients& clients, Tally& tally)
{
    Answer answer;
    uint64_t attempts = 0;
    do {
        const std::string& entry = plan.entries[(call.number + attempts++) % plan.entries.size()];
        answer = sendAttempt(plan, call, clientForEntry(plan, clients, entry));
    } while (mayResend(call, answer, static_cast<int>(attempts)));
    addAnswer(tally, call, answer, attempts - 1);
}

/// Sleeps until the given time. Returns false if the load generator is stopped before.
bool sleepUntilDue(TimePoint due)
{
    constexpr Milliseconds stopCheckInterval { 50 };
    while (!isStopping && Clock::now() < due)
        std::this_thread::sleep_until(std::min<TimePoint>(due, Clock::now() + stopCheckInterval));
    return !isStopping;
}

void runWorker(const LoadPlan& plan, std::atomic<uint64_t>& nextNumber, Tally& tally)
{
    Clients clients;
    while (true) {
        const uint64_t number = nextNumber++;
        const TimePoint due = FLAGS_rate > 0 ? plan.start + fromSeconds(static_cast<double>(number) / FLAGS_rate) : Clock::now();
        if (due >= plan.end || !sleepUntilDue(due))
            return;
        runCall(plan, makeCall(plan.requests, number, due), clients, tally);
    }
}

void runLoad(const LoadPlan& plan)
{
    std::atomic<uint64_t> nextNumber { 0 };
    Tally tally;
    std::vector<std::thread> workers;
    workers.reserve(static_cast<size_t>(FLAGS_workers));
    for (int worker = 0; worker < FLAGS_workers; ++worker)
        workers.emplace_back([&] { runWorker(plan, nextNumber, tally); });
    for (std::thread& worker : workers)
        worker.join();
    std::cout << makeReport(tally).dump() << '\n';
}

} // namespace

} // namespace bilberry::standin

int main(int argc, char** argv)
{
    using namespace bilberry::standin;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, [](int) { isStopping = true; });
    const LoadPlan plan = parseLoadPlan();
    if (plan.entries.empty() || plan.requests.accounts.empty()) {
        std::cerr << "--entries and --account are required\n";
        return 2;
    }
    runLoad(plan);
    return 0;
}
