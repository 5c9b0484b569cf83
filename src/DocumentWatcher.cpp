#include "DocumentWatcher.h"

#include "FleetView.h"
#include "Node.h"
#include "PeerCall.h"
#include "Rendezvous.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

namespace bilberry {

// Longest time for which the service may hold a read while the document doesn't change.
static constexpr Milliseconds longPollWait { 2000 };
// Delay before an absent document is read again. In a fleet without a configuration, every process reads the documents.
static constexpr Milliseconds absentRetryInterval { 1500 };
// Interval at which a process without a watch checks whether it should hold one.
static constexpr Milliseconds roleCheckInterval { 250 };
// Time after a failed read for which the process is not chosen as a watcher while others can read the service.
static constexpr Milliseconds failureLifetime { 30'000 };
// Delay after an answer. It bounds the call rate to a service that answers long polls at once.
static constexpr Milliseconds minReadInterval { 100 };

ReadResult readDocument(Node& node, DocumentKind kind, Milliseconds wait)
{
    auto sentAt = Clock::now();
    Generation knownGeneration = node.publishedState.generation(kind);
    // An invalid document may have been truncated in transit, so it is read again without a long poll.
    if (node.publishedState.highestSeenGeneration(kind) > knownGeneration)
        knownGeneration = 0;
    std::string path = fmt::format("/v1/kv/bilberrybarrow/{}?raw", toText(kind));
    if (knownGeneration > 0)
        path += fmt::format("&index={}&wait={}ms", knownGeneration, wait.count());
    HttpRequest request { "GET", path, {}, {} };
    countControlBytes(node, true, path.size());
    auto reply = node.clients.sendRequest(node.settings.configurationServiceAddress, request, { node.settings.connectTimeout, wait + node.settings.callTimeout }, maxConfigurationBytes);
    countControlBytes(node, false, reply.body.size());
    node.metrics.addToCounter("bilberry_configuration_reads_total", { { "document", std::string(toText(kind)) }, { "status", std::to_string(reply.status) } });
    if (reply.failure == CallFailure::None && reply.status == 404)
        return ReadResult::Absent;
    if (reply.failure != CallFailure::None || reply.status != 200)
        return ReadResult::Failed;
    Generation generation = 0;
    if (!absl::SimpleAtoi(findHeader(reply.headers, "X-Consul-Index"), &generation) || generation == 0) {
        node.metrics.addToCounter("bilberry_documents_offered_total", { { "document", std::string(toText(kind)) }, { "result", "no-generation" } });
        return ReadResult::Unusable;
    }
    auto adoption = adoptDocument(node, kind, generation, reply.body, DocumentSource::Service);
    if (adoption != AdoptionResult::Adopted && adoption != AdoptionResult::AlreadyHeld)
        return ReadResult::Unusable;
    node.pauseGuard.noteAnswer(sentAt);
    return ReadResult::Answered;
}

Milliseconds runWatchStep(Node& node, DocumentKind kind, WatchState& state)
{
    auto startedAt = Clock::now();
    if (kind == DocumentKind::Configuration && startedAt - state.failedAt > failureLifetime)
        node.lacksService = false;
    if (!isWatcher(node)) {
        resetBackoff(state.backoff);
        return roleCheckInterval;
    }
    auto result = readDocument(node, kind, longPollWait);
    auto random = hashText(node.settings.vm, static_cast<uint64_t>(startedAt.time_since_epoch().count()));
    if (kind == DocumentKind::Configuration) {
        node.lacksService = result == ReadResult::Failed;
        if (result == ReadResult::Failed)
            state.failedAt = startedAt;
    }
    if (result == ReadResult::Failed || result == ReadResult::Unusable)
        return nextBackoffDelay(state.backoff, random);
    resetBackoff(state.backoff);
    return result == ReadResult::Absent ? absentRetryInterval : minReadInterval;
}

} // namespace bilberry
