/// Tests versions, memory limits and engine orders: only complete, verified versions are loaded and admitted. Also tests
/// that holdings of peers survive encoding and reordering.
#define BOOST_TEST_MODULE Activation
#include "Activation.h"
#include "ContentDigest.h"
#include "Digest.h"
#include "Holdings.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck/boost_test.h>

using namespace bilberry;

namespace {

constexpr TimePoint startTime { std::chrono::hours(1) };
constexpr uint64_t chunkBytes = 4;

std::string chunkText(int number)
{
    return std::to_string(1000 + number);
}

Manifest makeManifest(const std::vector<int>& numbers)
{
    std::string text = R"({"schemaVersion":2,"layers":[)";
    for (size_t i = 0; i < numbers.size(); ++i)
        text += (i ? "," : "") + std::string(R"({"digest":"sha256:)") + sha256Hex(chunkText(numbers[i])) + R"(","size":4})";
    return *parseManifest(text + "]}");
}

void receiveChunk(std::vector<WeightRow>& rows, ChunkStore& store, int number)
{
    auto digest = "sha256:" + sha256Hex(chunkText(number));
    BOOST_REQUIRE(store.put(digest, chunkText(number)).ok());
    updateFetchedChunk(rows, digest, store);
}

void setContentDigest(WeightRow& row, const ChunkStore& store)
{
    std::vector<ChunkBytes> chunks;
    for (const auto& chunk : row.wanted.manifest.chunks)
        chunks.push_back(store.find(chunk.digest));
    row.wanted.contentSha256 = contentSha256(chunks);
}

ObservedEngineState makeServingState(const WeightVersion& version, TimePoint askedAt, const std::string& content)
{
    return { { { "drafter", version.manifest.digest, true, 7, content } }, askedAt, false };
}

std::vector<WeightRow> makeRows()
{
    std::vector<WeightRow> rows;
    syncWeightRows(rows, { { "drafter", "stable" } }, startTime);
    return rows;
}

} // namespace

// With any sequence of new versions, arriving chunks and evictions, a load order always names a version of which every chunk
// is held. An order for a version with missing chunks would have the engine load incomplete weights.
RC_BOOST_PROP(onlyWholeVerifiedVersionsAreLoaded, ())
{
    ChunkStore store(8 * chunkBytes);
    auto rows = makeRows();
    auto now = startTime;
    auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 6)));
    for (const auto& [action, number] : steps) {
        now += Milliseconds(10);
        if (action == 0)
            adoptManifest(rows[0], makeManifest({ number, number + 1, 3 }), now, store, now);
        else if (store.heldBytes() < 8 * chunkBytes)
            receiveChunk(rows, store, number);
        store.retainOnly(chooseRetainedDigests(rows, 8 * chunkBytes));
        if (hasAllChunks(rows[0].wanted))
            setContentDigest(rows[0], store);
        auto order = chooseEngineOrder(rows[0], { {}, now, false }, {}, now);
        if (order.kind != OrderKind::Load)
            continue;
        const WeightVersion& version = order.digest == rows[0].wanted.manifest.digest ? rows[0].wanted : rows[0].previous;
        RC_ASSERT(version.manifest.digest == order.digest);
        for (const auto& chunk : version.manifest.chunks)
            RC_ASSERT(store.has(chunk.digest));
    }
}

BOOST_AUTO_TEST_CASE(aCorruptedChunkIsRefusedAndRecurringChunksAreKept)
{
    ChunkStore store(100);
    auto rows = makeRows();
    adoptManifest(rows[0], makeManifest({ 1, 2 }), startTime, store, startTime);
    BOOST_TEST(absl::IsDataLoss(store.put(rows[0].wanted.manifest.chunks[0].digest, "9999")));
    receiveChunk(rows, store, 1);
    adoptManifest(rows[0], makeManifest({ 1, 3 }), startTime + Milliseconds(1), store, startTime);
    store.retainOnly(chooseRetainedDigests(rows, 100));
    BOOST_TEST(rows[0].wanted.chunks[0].isHeld);
    BOOST_TEST(!rows[0].wanted.chunks[1].isHeld);
    BOOST_TEST(rows[0].previous.manifest.digest.empty());
}

BOOST_AUTO_TEST_CASE(anOlderConfirmationNeverReplacesANewerVersion)
{
    ChunkStore store(100);
    auto rows = makeRows();
    adoptManifest(rows[0], makeManifest({ 1 }), startTime + Seconds(5), store, startTime);
    BOOST_TEST(!supersedesWantedVersion(rows[0], "stable", startTime + Seconds(4)));
    BOOST_TEST(supersedesWantedVersion(rows[0], "stable", startTime + Seconds(6)));
    BOOST_TEST(!supersedesWantedVersion(rows[0], "next", startTime + Seconds(6)));
}

BOOST_AUTO_TEST_CASE(aVersionThatDoesNotFitIsMarkedAndThePreviousOneStays)
{
    ChunkStore store(2 * chunkBytes);
    auto rows = makeRows();
    adoptManifest(rows[0], makeManifest({ 1, 2 }), startTime, store, startTime);
    receiveChunk(rows, store, 1);
    receiveChunk(rows, store, 2);
    setContentDigest(rows[0], store);
    adoptManifest(rows[0], makeManifest({ 1, 2, 3 }), startTime, store, startTime);
    auto retained = chooseRetainedDigests(rows, 2 * chunkBytes);
    BOOST_TEST(rows[0].isTooLarge);
    BOOST_TEST(retained.size() == 2U);
    BOOST_TEST((chooseEngineOrder(rows[0], { {}, startTime, false }, {}, startTime).digest == rows[0].previous.manifest.digest));
}

BOOST_AUTO_TEST_CASE(ordersAndAdmission)
{
    ChunkStore store(100);
    auto rows = makeRows();
    WeightRow& row = rows[0];
    adoptManifest(row, makeManifest({ 1 }), startTime, store, startTime);
    auto now = startTime + Seconds(1);
    BOOST_TEST((chooseEngineOrder(row, { {}, now, false }, {}, now).kind == OrderKind::None), "no order for a version with missing chunks");
    receiveChunk(rows, store, 1);
    setContentDigest(row, store);
    BOOST_TEST((chooseEngineOrder(row, { {}, now, false }, {}, now).kind == OrderKind::Load));
    auto matchingState = makeServingState(row.wanted, now, row.wanted.contentSha256);
    BOOST_TEST((chooseEngineOrder(row, matchingState, {}, now).kind == OrderKind::None));
    BOOST_TEST(findServedDigest(rows, matchingState, "drafter", now).value() == row.wanted.manifest.digest);
    auto mismatchedState = makeServingState(row.wanted, now, "other bytes");
    BOOST_TEST((chooseEngineOrder(row, mismatchedState, {}, now).kind == OrderKind::Unload));
    BOOST_TEST(!findServedDigest(rows, mismatchedState, "drafter", now));
    BOOST_TEST(!findServedDigest(rows, matchingState, "drafter", now + maxEngineStateAge + Milliseconds(1)), "an outdated engine state admits nothing");
    adoptManifest(row, makeManifest({ 2 }), now, store, now);
    BOOST_TEST((chooseEngineOrder(row, matchingState, {}, now).kind == OrderKind::None), "the old version serves until the new one is complete");
    BOOST_TEST(findServedDigest(rows, matchingState, "drafter", now).value() == row.previous.manifest.digest);
    BOOST_TEST(chooseEngineOrder(row, { {}, now, false }, {}, now).digest == row.previous.manifest.digest, "the engine restarted cold during the transfer of the new version");
    receiveChunk(rows, store, 2);
    setContentDigest(row, store);
    BOOST_TEST(chooseEngineOrder(row, matchingState, {}, now).digest == row.wanted.manifest.digest);
    auto resumedAt = now + Milliseconds(1);
    BOOST_TEST((chooseEngineOrder(row, { matchingState.models, resumedAt, false }, resumedAt, resumedAt).kind == OrderKind::None), "no order after a pause while the version is not confirmed since");
    BOOST_TEST((chooseEngineOrder(row, { {}, resumedAt, false }, resumedAt, resumedAt).kind == OrderKind::Load), "a load order after a pause when the engine serves nothing");
    BOOST_TEST(nextFencingToken(3, matchingState) == 8U);
    BOOST_TEST(nextFencingToken(9, matchingState) == 10U);
}

BOOST_AUTO_TEST_CASE(anEngineThatDoesNotStateItsBytesMustHaveLoadedThemOnTheLastOwnOrder)
{
    ChunkStore store(100);
    auto rows = makeRows();
    WeightRow& row = rows[0];
    adoptManifest(row, makeManifest({ 1 }), startTime, store, startTime);
    receiveChunk(rows, store, 1);
    setContentDigest(row, store);
    const std::string& digest = row.wanted.manifest.digest;
    struct Case {
        const char* description;
        CompletedLoad lastLoad;
        uint64_t reportedToken;
        bool isAdmitted;
    };
    for (const auto& [description, lastLoad, reportedToken, isAdmitted] : std::vector<Case> { { "loaded by another process", {}, 7, false }, { "loaded by this process", { digest, 7 }, 7, true },
             { "loaded again by another process", { digest, 6 }, 7, false }, { "the engine reports no fencing tokens", { digest, 7 }, 0, true }, { "this process last loaded another version", { "sha256:x", 7 }, 7, false } }) {
        auto stateWithoutContent = makeServingState(row.wanted, startTime, "");
        stateWithoutContent.models[0].fencingToken = reportedToken;
        row.lastLoad = lastLoad;
        BOOST_TEST(findServedDigest(rows, stateWithoutContent, "drafter", startTime).has_value() == isAdmitted, description);
        BOOST_TEST((chooseEngineOrder(row, stateWithoutContent, {}, startTime).kind == (isAdmitted ? OrderKind::None : OrderKind::Load)), description);
    }
    BOOST_TEST(!findServedDigest({}, makeServingState(row.wanted, startTime, ""), "drafter", startTime), "a model that is not placed on this VM");
}

// Reports that overtake one another must not replace newer holdings by older ones.
RC_BOOST_PROP(holdingsToldInAnyOrderEndAtTheLatest, (const std::vector<uint8_t>& growth))
{
    std::vector<Holdings> reports { { "stable", "sha256:x", {}, 0, {} } };
    for (uint8_t bytes : growth)
        reports.push_back({ "stable", "sha256:x", {}, reports.back().receivedBytes + bytes + 1, std::vector<bool>(reports.size()) });
    Holdings latest = reports.back();
    std::shuffle(reports.begin(), reports.end(), std::mt19937(static_cast<unsigned>(growth.size())));
    Holdings known { "stable", "sha256:before", {}, UINT64_MAX, {} };
    for (const auto& holdings : reports) {
        if (shouldReplaceHoldings(known, holdings))
            known = holdings;
    }
    RC_ASSERT(known.receivedBytes == latest.receivedBytes);
    RC_ASSERT(known.chunks == latest.chunks);
}

RC_BOOST_PROP(holdingsSurviveEncoding, (const std::vector<bool>& chunks, uint64_t received, uint16_t age))
{
    Holdings holdings { "stable", "sha256:x", Milliseconds(age), received, chunks };
    auto parsed = parseHoldings(toText(holdings));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed->chunks == chunks && parsed->receivedBytes == received && parsed->confirmedAge == Milliseconds(age));
    auto truncated = toText(holdings);
    truncated.pop_back();
    RC_ASSERT(!parseHoldings(truncated));
}
