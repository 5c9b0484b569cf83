#define BOOST_TEST_MODULE FetchWindow
#include <boost/test/unit_test.hpp>

#include "FetchWindow.h"

#include <algorithm>
#include <rapidcheck.h>

using namespace bilberry;

namespace {

const TimePoint start { std::chrono::hours(1) };
constexpr size_t pieceBytes = 32768;
constexpr size_t maxFetches = 16;
constexpr double nominalRate = 950'000; // Bytes per second.
constexpr Milliseconds maxDelay { 300 };

/// A VM's link that delivers one piece after the other, and an agent that always has as many on their way as the window allows.
struct LinkModel {
    FetchWindow window { nominalRate, {} };
    double rate = nominalRate; ///< Bytes per second.
    TimePoint now = start;
    TimePoint freeAt = start; ///< When the last piece on its way will have arrived.
    std::deque<PieceArrival> underWay;

    Duration pieceTime() const { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pieceBytes / this->rate)); }
    /// The time that a request to the engine would wait behind the pieces.
    Duration requestDelay() const { return std::max(Duration(0), this->freeAt - this->now); }

    void runUntil(TimePoint end)
    {
        for (; this->now < end; this->now += Milliseconds(5)) {
            while (!this->underWay.empty() && this->underWay.front().endedAt <= this->now) {
                recordArrival(this->window, this->underWay.front());
                this->underWay.pop_front();
            }
            while (this->underWay.size() < allowedFetches(this->window, pieceBytes, maxFetches)) {
                auto beganAt = std::max(this->now, this->freeAt);
                this->freeAt = beganAt + this->pieceTime();
                this->underWay.push_back({ beganAt, this->freeAt, pieceBytes, false });
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(requestsDontWaitLongBehindPiecesOnALinkThatTurnedSlow)
{
    BOOST_TEST(rc::check([] {
        LinkModel link;
        link.runUntil(start + Seconds(1));
        RC_ASSERT(link.requestDelay() <= maxDelay + link.pieceTime());
        size_t usual = allowedFetches(link.window, pieceBytes, maxFetches);
        link.rate = nominalRate / *rc::gen::inRange(1, 16);
        // The pieces that were on their way when the link turned slow, and the arrivals from which the new rate is known.
        link.runUntil(start + Seconds(1) + link.pieceTime() * static_cast<int>(usual + 8));
        for (int i = 0; i < 20; ++i) {
            link.runUntil(link.now + link.pieceTime());
            RC_ASSERT(link.requestDelay() <= std::max<Duration>(maxDelay, link.pieceTime()) + link.pieceTime());
        }
        link.rate = nominalRate;
        link.runUntil(link.freeAt + Seconds(1));
        RC_ASSERT(allowedFetches(link.window, pieceBytes, maxFetches) == usual);
    }));
}

BOOST_AUTO_TEST_CASE(aBusyOriginSaysNothingOfTheLink)
{
    FetchWindow window { nominalRate, {} };
    recordArrival(window, { start, start + Seconds(2), pieceBytes, true });
    BOOST_TEST(arrivalRate(window) == nominalRate);
    recordArrival(window, { start + Seconds(3), start + Seconds(4), pieceBytes, false });
    BOOST_TEST(arrivalRate(window) == static_cast<double>(pieceBytes));
    // A fast arrival from the origin shows that the link is fast again.
    recordArrival(window, { start + Seconds(5), start + Seconds(5) + Milliseconds(40), pieceBytes, true });
    BOOST_TEST(arrivalRate(window) > static_cast<double>(pieceBytes));
}

// An agent that has all pieces gets no more arrivals, which would show that its link is fast again.
BOOST_AUTO_TEST_CASE(sendsDontStaySlowAfterTheLastArrival)
{
    FetchWindow window { nominalRate, {} };
    BOOST_TEST(sendRate(window, start) == nominalRate);
    recordArrival(window, { start, start + Seconds(1), pieceBytes, false });
    BOOST_TEST(sendRate(window, start + Seconds(1)) == static_cast<double>(pieceBytes));
    BOOST_TEST(sendRate(window, start + Seconds(11)) == nominalRate);
    recordArrival(window, { start + Seconds(12), start + Seconds(12), 0, false });
    BOOST_TEST(arrivalRate(window) == static_cast<double>(pieceBytes));
}

BOOST_AUTO_TEST_CASE(unknownRatesAndSizesLeaveTheLimitAsItIs)
{
    BOOST_TEST(allowedFetches({}, pieceBytes, maxFetches) == maxFetches);
    BOOST_TEST(allowedFetches({ nominalRate, {} }, 0, maxFetches) == maxFetches);
    BOOST_TEST(allowedFetches({ 1, {} }, pieceBytes, maxFetches) == 1u);
    FetchWindow window;
    recordArrival(window, { start, start, pieceBytes, false });
    BOOST_TEST(allowedFetches(window, pieceBytes, maxFetches) > 0u);
}
