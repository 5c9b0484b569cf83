#define BOOST_TEST_MODULE ManifestTrust
#include <boost/test/unit_test.hpp>

#include "ManifestTrust.h"

using namespace bilberry;

static const TimePoint start { std::chrono::hours(1) };

BOOST_AUTO_TEST_CASE(aWrongDigestIsToldFromSpoiltPieces)
{
    struct Row {
        const char* name;
        std::vector<WrongPiece> wrongPieces;
        bool isDoubted;
    };
    const std::vector<Row> rows {
        { "one from the origin", { { 3, "a", false } }, false },
        { "two different ones", { { 3, "a", false }, { 3, "b", false } }, false },
        { "two pieces", { { 3, "a", false }, { 4, "a", false } }, false },
        { "two equal ones", { { 3, "a", false }, { 3, "a", false } }, true },
        { "one from a peer", { { 3, "a", true } }, true },
        { "many different ones", { { 3, "a", false }, { 3, "b", false }, { 3, "c", false }, { 3, "d", false } }, true },
    };
    for (const auto& row : rows) {
        auto trust = makeManifestTrust(8);
        for (const auto& wrong : row.wrongPieces)
            noteWrongPiece(trust, wrong, start);
        BOOST_TEST_CONTEXT(row.name)
        {
            BOOST_TEST(trust.isDoubted == row.isDoubted);
        }
    }
}

// An origin that goes on sending wrong manifests is asked again at a bounded rate, and pieces are fetched again more slowly.
BOOST_AUTO_TEST_CASE(doubtsAndRepeatedFetchesAreBounded)
{
    auto trust = makeManifestTrust(8);
    int doubts = 0;
    int fetches = 0;
    auto end = start + Seconds(60);
    for (auto now = start; now < end; now += retryDelayAfterWrongPieces(trust, 3, Milliseconds(200))) {
        ++fetches;
        noteWrongPiece(trust, { 3, "a", false }, now);
        doubts += trust.isDoubted ? 1 : 0;
        endDoubt(trust);
    }
    BOOST_TEST(doubts >= 60 / 4);
    BOOST_TEST(doubts <= 60 / 4 + 4);
    BOOST_TEST(fetches <= 60 / 2 + 8);
}
