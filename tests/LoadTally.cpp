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
        ++tally.refused[answer.reason];
    if (!answer.outcome.empty())
        ++tally.outcomes[answer.outcome];
    if (answer.verdict != Verdict::Ok)
        return;
    ++account.ok;
    tally.latency.push_back(Clock::now() - call.due);
    if (answer.firstPiece)
        tally.firstToken.push_back(*answer.firstPiece - call.due);
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

json report(Tally& total)
{
    json accounts = json::object();
    for (const auto& [name, account] : total.accounts)
        accounts[name] = { { "sent", account.sent }, { "ok", account.ok } };
    return { { "sent", total.sent }, { "resent", total.resent }, { "ok", total.verdicts[Verdict::Ok] }, { "refused", total.refused },
        { "outcome", total.outcomes }, { "lost", total.verdicts[Verdict::Lost] }, { "cut", total.verdicts[Verdict::Cut] },
        { "wrong", total.verdicts[Verdict::Wrong] }, { "mixed", total.verdicts[Verdict::Mixed] }, { "ttft_ms", percentiles(total.firstToken) },
        { "latency_ms", percentiles(total.latency) }, { "per_account", accounts } };
}

} // namespace bilberry::standin
