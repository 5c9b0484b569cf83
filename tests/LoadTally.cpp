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

/// Nearest-rank percentile in milliseconds; null without values. Precondition: sorted.
static json percentile(const std::vector<Duration>& sorted, double share)
{
    if (sorted.empty())
        return nullptr;
    const auto rank = static_cast<size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    const std::chrono::duration<double, std::micro> time = sorted[std::max<size_t>(rank, 1) - 1];
    return std::round(time.count()) / 1000;
}

static json percentiles(std::vector<Duration>& times)
{
    std::sort(times.begin(), times.end());
    return { { "p50", percentile(times, 0.5) }, { "p95", percentile(times, 0.95) }, { "p99", percentile(times, 0.99) }, { "max", percentile(times, 1) } };
}

json makeReport(Tally& total)
{
    json accounts = json::object();
    for (const auto& [name, account] : total.accounts)
        accounts[name] = { { "sent", account.sent }, { "ok", account.ok } };
    return { { "sent", total.sent }, { "resent", total.resent }, { "ok", total.verdicts[Verdict::Ok] }, { "refused", total.refusalReasons },
        { "outcome", total.outcomes }, { "lost", total.verdicts[Verdict::Lost] }, { "cut", total.verdicts[Verdict::Truncated] },
        { "wrong", total.verdicts[Verdict::Wrong] }, { "mixed", total.verdicts[Verdict::VersionMismatch] }, { "ttft_ms", percentiles(total.firstByteLatencies) },
        { "latency_ms", percentiles(total.latencies) }, { "per_account", accounts } };
}

} // namespace bilberry::standin
