#include "Refusal.h"

#include <array>
#include <cassert>
#include <fmt/format.h>

namespace bilberry {

// Properties of one refusal reason, as a caller sees them.
struct ReasonProperties {
    RefusalReason reason;
    std::string_view name;
    int status;
    Outcome outcome;
    int retryAfterMs;
    bool mayRetryElsewhere;
    std::string_view detail;
};

static constexpr std::array<ReasonProperties, refusalReasonCount> reasonTable { {
    { RefusalReason::None, "none", 200, Outcome::Ran, 0, false, "" },
    { RefusalReason::UnknownService, "unknown-service", 404, Outcome::NotRun, 0, false, "no service or model has that name or path" },
    { RefusalReason::UnknownCaller, "unknown-caller", 401, Outcome::NotRun, 0, false, "the client account is not known" },
    { RefusalReason::BadRequest, "bad-request", 400, Outcome::NotRun, 0, false, "the request can't be parsed" },
    { RefusalReason::NoConfiguration, "no-configuration", 503, Outcome::NotRun, 1000, true, "the process has no configuration yet" },
    { RefusalReason::NoEndpoint, "no-endpoint", 503, Outcome::NotRun, 1000, false, "no endpoint can serve the request now" },
    { RefusalReason::DataCentreOut, "data-centre-out", 503, Outcome::NotRun, 1000, true, "the data centre is out of service" },
    { RefusalReason::Leaving, "leaving", 503, Outcome::NotRun, 1000, true, "the endpoint is leaving" },
    { RefusalReason::VersionNotReady, "version-not-ready", 503, Outcome::NotRun, 2000, true, "the endpoint does not serve the model's version yet" },
    { RefusalReason::Overloaded, "overloaded", 429, Outcome::NotRun, 1000, true, "the endpoint is at its limit" },
    { RefusalReason::QueueFull, "queue-full", 429, Outcome::NotRun, 1000, true, "the queue of the client account is full" },
    { RefusalReason::DeadlineExceeded, "deadline-exceeded", 504, Outcome::NotRun, 1000, false, "the request can't be served before its deadline" },
    { RefusalReason::RetryBudgetExhausted, "retry-budget-exhausted", 503, Outcome::NotRun, 1000, false, "the service's retry budget is used up" },
    { RefusalReason::ConnectFailed, "connect-failed", 503, Outcome::NotRun, 1000, true, "the endpoint could not be reached" },
    { RefusalReason::CrashedEndpoints, "crashed-endpoints", 422, Outcome::PermanentlyRefused, 0, false, "the request crashed the endpoints that ran it" },
    { RefusalReason::ReplyLost, "reply-lost", 502, Outcome::Unknown, 1000, false, "the answer was lost; the request may have run" },
    { RefusalReason::StreamCut, "stream-cut", 502, Outcome::Unknown, 1000, false, "the stream broke and can't be resumed" },
    { RefusalReason::Unauthorized, "unauthorized", 403, Outcome::NotRun, 0, false, "the sender is not a process of this system" },
    { RefusalReason::TooLarge, "too-large", 413, Outcome::NotRun, 0, false, "the request is larger than the limit" },
} };

static const ReasonProperties& propertiesOf(RefusalReason reason)
{
    const ReasonProperties& row = reasonTable[static_cast<size_t>(reason)];
    assert(row.reason == reason);
    return row;
}

std::string_view toText(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ran:
        return "ran";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "outcome-unknown";
    case Outcome::PermanentlyRefused:
        return "final";
    }
    return "outcome-unknown";
}

std::string_view toText(RefusalReason reason)
{
    return propertiesOf(reason).name;
}

std::optional<Outcome> parseOutcome(std::string_view name)
{
    for (auto outcome : { Outcome::Ran, Outcome::NotRun, Outcome::Unknown, Outcome::PermanentlyRefused }) {
        if (toText(outcome) == name)
            return outcome;
    }
    return std::nullopt;
}

std::optional<RefusalReason> parseRefusalReason(std::string_view name)
{
    for (const auto& row : reasonTable) {
        if (row.name == name)
            return row.reason;
    }
    return std::nullopt;
}

Refusal makeRefusal(RefusalReason reason)
{
    const ReasonProperties& row = propertiesOf(reason);
    return Refusal { reason, row.outcome, Milliseconds(row.retryAfterMs) };
}

int httpStatus(const Refusal& refusal)
{
    return propertiesOf(refusal.reason).status;
}

std::string problemDetails(const Refusal& refusal)
{
    const ReasonProperties& row = propertiesOf(refusal.reason);
    return fmt::format(R"({{"status":{},"title":"{}","detail":"{}","outcome":"{}","reason":"{}"}})",
        row.status, row.name, row.detail, toText(refusal.outcome), row.name);
}

bool mayRetryElsewhere(const Refusal& refusal)
{
    return refusal.outcome == Outcome::NotRun && propertiesOf(refusal.reason).mayRetryElsewhere;
}

} // namespace bilberry
