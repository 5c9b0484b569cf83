/// Time types, identifiers and small enumerations that every module shares.
#pragma once

#include <chrono>
#include <cstdint>

namespace bilberry {

/// The clock that all decisions use. It is monotonic, so a step of the wall clock has no effect.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// Wall-clock time, for calendar rules and for times that callers state.
using WallTime = std::chrono::system_clock::time_point;

/// Number that the platform assigns to a published configuration; a higher one supersedes a lower one.
using Generation = uint64_t;

/// Index of a row in one of the tables of a configuration.
using RowIndex = uint32_t;
constexpr RowIndex noRow = UINT32_MAX;

enum class Role : uint8_t { Entry,
    Endpoint };

enum class ServiceKind : uint8_t { Model,
    Plain };

/// Priority of a request; higher values are served first.
enum class Priority : uint8_t { Batch = 0,
    Normal = 1,
    Interactive = 2 };
constexpr int priorityCount = 3;

/// What is known about one attempt to run a request.
enum class Outcome : uint8_t {
    Ran, ///< The back end answered.
    NotRun, ///< No process ran the request, and none will run it from this attempt.
    Unknown, ///< The request may have run.
    PermanentlyRefused, ///< The request is refused permanently; a retry does not help.
};

/// Why a request was refused. The wire names are in Refusal.h.
enum class RefusalReason : uint8_t {
    None,
    UnknownService,
    UnknownCaller,
    BadRequest,
    NoConfiguration,
    NoEndpoint,
    DataCentreOut,
    Leaving,
    VersionNotReady,
    Overloaded,
    QueueFull,
    DeadlineExceeded,
    RetryBudgetExhausted,
    ConnectFailed,
    CrashedEndpoints,
    ReplyLost,
    StreamCut,
    Unauthorized,
    TooLarge,
};
constexpr int refusalReasonCount = static_cast<int>(RefusalReason::TooLarge) + 1;

} // namespace bilberry
