/// The part of EntryNode that decides whether the entry reads the store itself, and that brings its cluster view up to date from its
/// peers while the store doesn't answer.

#include "EntryNode.h"

#include "ServerExchange.h"
#include "StoreEra.h"
#include "ViewUpdate.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <optional>

namespace bilberry {

// Age of the cluster view from which a peer is asked for a store delta.
static constexpr Milliseconds minAgeToAskPeer { 2400 };
// Least difference in age for which a peer is asked.
static constexpr Milliseconds minAgeGainFromPeer { 300 };
// Least time between two requests for a store delta.
static constexpr Milliseconds storeDeltaInterval { 200 };
// Time after the start within which a peer is asked for what the store may have lost.
static constexpr Seconds startCheckTime { 10 };
// Timeout of a request for a store delta.
static constexpr Milliseconds storeDeltaTimeout { 1000 };
static constexpr std::string_view storeDeltaPathPrefix = "/store/";

// Reads the version from the path /store/ERA/REVISION.
static std::optional<StoreVersion> parseDeltaPath(const std::string& path)
{
    StoreVersion version;
    std::vector<std::string> fields = absl::StrSplit(path, '/', absl::SkipEmpty());
    bool isDeltaPath = fields.size() == 3 && path.rfind(storeDeltaPathPrefix, 0) == 0 && absl::SimpleAtoi(fields[1], &version.era) && absl::SimpleAtoi(fields[2], &version.revision);
    return isDeltaPath ? std::optional<StoreVersion>(version) : std::nullopt;
}

// Answers a peer's request for /store/ERA/REVISION with the changes since that version.
void EntryNode::answerStoreDelta(const std::shared_ptr<ServerExchange>& exchange)
{
    auto version = parseDeltaPath(exchange->request().path);
    auto told = version && this->clusterView.isConfirmed ? changesToTell(this->storeReplica, *version) : std::nullopt;
    if (!told) {
        exchange->sendResponse(version ? 503 : 404, {}, {});
        return;
    }
    StoreDelta delta { ageOf(this->clusterView, BootClock::now()), this->storeReplica.version, eraHoldTimeLeft(this->clusterView, Clock::now()), std::move(told->changes), {}, told->isComplete };
    delta.version.era = this->clusterView.era;
    if (delta.holdTimeLeft == Milliseconds(0))
        delta.namings = recentNamings(this->clusterView, BootClock::now());
    exchange->sendResponse(200, { { "Content-Type", "application/msgpack" } }, encodeStoreDelta(delta));
}

// Returns the peer to ask for a store delta: while the store doesn't answer, the one with the most recent cluster view; after
// the start, any one; and one with a newer configuration, which the store may have lost. Empty when no peer is to be asked.
std::string EntryNode::peerToAsk(TimePoint now) const
{
    const auto& table = this->peers.table();
    auto age = ageOf(this->clusterView, BootClock::now());
    if (age > minAgeToAskPeer || (this->isStoreUnreachable && age > minAgeGainFromPeer))
        return freshestPeer(table, age == Milliseconds::max() ? age : age - minAgeGainFromPeer, this->clusterView.era, now);
    if (!this->isReadingStore) {
        StoreVersion ownVersion { this->clusterView.era, this->storeReplica.version.revision };
        if (auto reader = readerToAsk(table, ownVersion, age, now); !reader.empty())
            return reader;
    }
    bool isStarting = now - this->startedAt < startCheckTime;
    if (isStarting && !this->hasPeerAnswered)
        return freshestPeer(table, Milliseconds::max(), this->clusterView.era, now);
    bool mayLackConfiguration = this->clusterView.routes && (isStarting || now < this->clusterView.eraHoldUntil);
    return mayLackConfiguration ? peerWithNewerConfiguration(table, this->clusterView.routes->generation, now) : std::string();
}

// Starts or ends this entry's own calls to the store, depending on which entries read it.
void EntryNode::chooseStoreReading(TimePoint now)
{
    auto age = ageOf(this->clusterView, BootClock::now());
    bool shouldRead = this->settings.peerPort == 0 || shouldReadStore(this->storeReading, this->peers.table(), age, now);
    if (shouldRead == this->isReadingStore)
        return;
    this->isReadingStore = shouldRead;
    this->storeWatch.setPaused(!shouldRead, { this->clusterView.era, this->storeReplica.version.revision });
    this->log.write(LogLevel::Info, shouldRead ? "store_reading_begun" : "store_reading_ended", { { "age_ms", age } });
}

void EntryNode::requestStoreDelta(TimePoint now)
{
    if (now - this->deltaRequestedAt < storeDeltaInterval || this->peerCaller.isBusy())
        return;
    auto peer = this->peerToAsk(now);
    if (peer.empty())
        return;
    this->deltaRequestedAt = now;
    this->peerCaller.setAddress({ peer, this->settings.peerPort });
    auto sentAt = BootClock::now();
    const auto& version = this->storeReplica.version;
    this->peerCaller.get(fmt::format("{}{}/{}", storeDeltaPathPrefix, version.era, version.revision), storeDeltaTimeout, [this, peer, sentAt](const CallResult& result) { this->applyStoreDelta(result, peer, sentAt); });
}

// Takes over a peer's view if it is more recent than the own one: it is of the same era, or of a later one and then complete.
void EntryNode::adoptView(const StoreDelta& delta, const std::string& peer, BootTimePoint confirmedAt, TimePoint now)
{
    if (this->isReadingStore && !this->isViewFromPeer) {
        this->isViewFromPeer = true;
        this->log.write(LogLevel::Info, "took_peers_belief", { { "peer", peer }, { "age_ms", delta.age }, { "changes", static_cast<uint64_t>(delta.changes.size()) } });
    }
    auto knownEra = this->clusterView.era;
    this->noteEra(delta.version.era, now);
    this->updateEarliestNamingTime(delta.version.era, now);
    this->confirmView(confirmedAt);
    adoptDelta(this->clusterView, this->storeReplica, this->adapter.store, delta, knownEra, now, [&](const StoreChange& change, bool isListed) { this->applyChange(change, isListed, now); });
}

void EntryNode::applyStoreDelta(const CallResult& result, const std::string& peer, BootTimePoint sentAt)
{
    auto delta = result.status == 200 ? decodeStoreDelta(result.body) : absl::StatusOr<StoreDelta>(absl::UnavailableError(result.describe()));
    if (!delta.ok()) {
        this->log.write(LogLevel::Info, "peer_call_failed", { { "peer", peer }, { "reason", std::string(delta.status().message()) } });
        return;
    }
    auto now = Clock::now();
    this->hasPeerAnswered = true;
    joinEraHold(this->clusterView, delta->version.era, delta->holdTimeLeft, now);
    // The peer measures the age after the request was sent, so its view is at least as recent as this.
    auto peerConfirmedAt = sentAt - delta->age;
    bool isMoreRecent = delta->version.era >= this->clusterView.era && (!this->clusterView.isConfirmed || peerConfirmedAt > this->clusterView.confirmedAt);
    if (isMoreRecent) {
        this->adoptView(*delta, peer, peerConfirmedAt, now);
    } else {
        // The store's own word is more recent, but it may lack what it has lost: only changes of earlier eras are taken over.
        constexpr uint64_t anyEarlierEra = 0;
        this->updateEarliestNamingTime(anyEarlierEra, now);
        for (const auto& change : delta->changes) {
            if (change.era < this->clusterView.era)
                this->applyChange(change, false, now);
        }
    }
    bool mayHaveBeenLost = now < this->clusterView.eraHoldUntil || delta->holdTimeLeft > Milliseconds(0);
    if (delta->version.era == this->clusterView.era && !mayHaveBeenLost)
        adoptNamings(this->clusterView, delta->namings, sentAt);
    this->dispatchRequestsAwaitingConfiguration(now);
}

} // namespace bilberry
