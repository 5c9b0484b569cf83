#include "LoadTally.h"
#include <algorithm>
#include <cmath>

namespace bilberry::standin {

using nlohmann::json;

void addAnswer(Tally& tally, const Call& call, const Answer& answer, uint64_t resent)
{
    const std::lock_guard lock(tally.mutex);
    ++tally.sent;
    tally.resent += resent;
    ++tally.verdicts[answer.verdict];
    AccountTally& account = tally.accounts[call.account];
    ++account.sent;
    if (answer.verdict == Verdict::Refused)
        ++tally.refusalReasons[answer.reason];
    if (!answer.outcome.empty())
        ++tally.outcomes[answer.outcome];
    if (answer.verdict != Verdict::Ok)
        return;
    ++account.ok;
    tally.latencies.push_back(Clock::now() - call.dueTime);
    if (answer.firstByteTime)
        tally.firstByteLatencies.push_back(*answer.firstByteTime - call.dueTime);
}

/// Returns the nearest-rank percentile in milliseconds, or null if there are no values. Precondition: the values are
/// sorted.
static json percentile(const std::vector<Duration>& sorted, double fraction)
{
    if (sorted.empty())
        return nullptr;
    const auto rank = static_cast<size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    const std::chrono::duration<double, std::micro> time = sorted[std::max<size_t>(rank, 1) - 1];
    return std::round(time.count()) / 1000;
}

static json percentiles(std::vector<Duration>& times)
{
    std::sort(times.begin(), times.end());
    return { { "p50", percentile(times, 0.5) }, { "p95", percentile(times, 0.95) }, { "p99", percentile(times, 0.99) }, { "max", percentile(times, 1) } };
}

json makeReport(Tally& tally)
{
    json accounts = json::object();
    for (const auto& [name, account] : tally.accounts)
        accounts[name] = { { "sent", account.sent }, { "ok", account.ok } };
    return { { "sent", tally.sent }, { "resent", tally.resent }, { "ok", tally.verdicts[Verdict::Ok] }, { "refused", tally.refusalReasons },
        { "outcome", tally.outcomes }, { "lost", tally.verdicts[Verdict::Lost] }, { "cut", tally.verdicts[Verdict::Truncated] },
        { "wrong", tally.verdicts[Verdict::Wrong] }, { "mixed", tally.verdicts[Verdict::VersionMismatch] }, { "ttft_ms", percentiles(tally.firstByteLatencies) },
        { "latency_ms", percentiles(tally.latencies) }, { "per_account", accounts } };
}

} // namespace bilberry::standin
