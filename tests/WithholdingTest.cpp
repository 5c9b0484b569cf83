/// Tests when an entry sends no request to an engine because the agent on its VM has asked for it.
#define BOOST_TEST_MODULE Withholding
#include <boost/test/unit_test.hpp>

#include "EndpointRecord.h"
#include "PeerMessage.h"
#include "Withholding.h"

using namespace bilberry;

static const TimePoint start { std::chrono::hours(1) };
static constexpr uint64_t noticeUnixMs = 1700000000000;

static EndpointRecord makeRecord(uint32_t version, Milliseconds startedBeforeNotice)
{
    EndpointRecord record;
    record.loadedLayersVersion = version;
    record.startedAt = WallTime(Milliseconds(noticeUnixMs) - startedBeforeNotice);
    return record;
}

static Withholding makeUnusable(uint32_t version)
{
    Withholding state;
    noteNotice(state, { "10.0.0.9:80", 0, noticeUnixMs, version }, start);
    return state;
}

static const EndpointRecord engine = makeRecord(3, std::chrono::hours(1));

BOOST_AUTO_TEST_CASE(AnEngineThatSwitchesIsWithheldForALimitedTime)
{
    Withholding state;
    BOOST_TEST(!isWithheld(state, engine, start));
    BOOST_TEST(noteNotice(state, { "10.0.0.9:80", 0, noticeUnixMs }, start));
    BOOST_TEST(isWithheld(state, engine, start + maxWithheldTime - Milliseconds(1)));
    BOOST_TEST(!isWithheld(state, engine, start + maxWithheldTime));
}

BOOST_AUTO_TEST_CASE(LayersThatMayBeSpoiltAreNotUsedAgainAfterATime)
{
    auto state = makeUnusable(3);
    BOOST_TEST(isWithheld(state, engine, start + std::chrono::hours(24)));
    noteNotice(state, { "10.0.0.9:80", 0, noticeUnixMs + 1 }, start);
    BOOST_TEST(isWithheld(state, engine, start + std::chrono::hours(24)));
}

BOOST_AUTO_TEST_CASE(LayersOfANewerVersionOrALaterRunAreUsed)
{
    auto state = makeUnusable(3);
    BOOST_TEST(isWithheld(state, makeRecord(2, Milliseconds(1)), start));
    BOOST_TEST(isWithheld(state, makeRecord(3, Milliseconds(0)), start));
    BOOST_TEST(!isWithheld(state, makeRecord(4, Milliseconds(1)), start));
    BOOST_TEST(!isWithheld(state, makeRecord(3, Milliseconds(-1)), start));
}

BOOST_AUTO_TEST_CASE(OnlyALaterNoticeThatTheEngineServesEndsIt)
{
    auto state = makeUnusable(3);
    BOOST_TEST(!noteNotice(state, { "10.0.0.9:80", 3, noticeUnixMs }, start));
    BOOST_TEST(isWithheld(state, engine, start));
    BOOST_TEST(noteNotice(state, { "10.0.0.9:80", 3, noticeUnixMs + 1 }, start));
    BOOST_TEST(!isWithheld(state, engine, start));
}

// Entries of the previous release read the version as 32 bits and withhold the engine for a limited time.
BOOST_AUTO_TEST_CASE(ANoticeOfUnusableLayersIsEncodedAsVersionZero)
{
    auto read = decodeNotice(encodeNotice({ "10.0.0.9:80", 0, 17, 3 }));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((read->version == 0 && read->unusableVersion == 3 && read->sequence == 17));
    auto serving = decodeNotice(encodeNotice({ "10.0.0.9:80", 3, 18 }));
    BOOST_REQUIRE(serving.ok());
    BOOST_TEST((serving->version == 3 && serving->unusableVersion == 0));
}
