#define BOOST_TEST_MODULE StoreWatch
#include <boost/test/unit_test.hpp>

#include "AsyncHttpServer.h"
#include "PlatformAdapter.h"
#include "ServerExchange.h"
#include "StoreWatch.h"

using namespace bilberry;

namespace {

// Longest time that a test waits for a condition.
constexpr Milliseconds testTimeout { 8000 };

/// A store that answers listings with one item, and watch calls with the answers that the test provides.
struct FakeStore {
    FakeStore()
        : server(loop, [this](const std::shared_ptr<ServerExchange>& exchange) { this->answerRequest(exchange); })
    {
        BOOST_REQUIRE(this->server.listen({ "127.0.0.1", 0 }).ok());
    }

    void answerRequest(const std::shared_ptr<ServerExchange>& exchange)
    {
        bool isListing = exchange->request().path.find("range") != std::string::npos;
        bool isHeld = this->isSilent || (!isListing && this->watchAnswers.empty());
        if (isHeld) {
            this->heldExchanges.push_back(exchange);
        } else if (isListing) {
            ++this->listingCount;
            exchange->sendResponse(200, {}, R"({"items":[{"key":"op/config","value":"e30=","revision":7}],"more-pages":false,"as-of":9})");
        } else {
            auto [status, body] = this->watchAnswers.front();
            this->watchAnswers.erase(this->watchAnswers.begin());
            exchange->sendResponse(status, {}, body);
        }
    }

    /// Starts a StoreWatch whose calls the store may hold for up to `wait`.
    void startWatch(Milliseconds wait)
    {
        StoreWatchSettings settings;
        settings.store = { "127.0.0.1", this->server.port() };
        settings.longPollWait = wait;
        settings.timeoutMargin = Milliseconds(100);
        settings.pauseBetweenCalls = Milliseconds(1);
        StoreWatchHandlers handlers;
        handlers.onListing = [this](const std::vector<StoreChange>& items, uint64_t, BootTimePoint) { this->listedItems += items.size(); };
        handlers.onChanges = [this](const std::vector<StoreChange>& changes, BootTimePoint) {
            ++this->changeCalls;
            this->changes.insert(this->changes.end(), changes.begin(), changes.end());
        };
        handlers.onFailure = [this](const std::string&, int) { ++this->failureCount; };
        this->watch = std::make_unique<StoreWatch>(this->loop, platformAdapter().store, settings, std::move(handlers));
        this->watch->start();
    }

    void runUntil(const std::function<bool()>& condition)
    {
        auto end = Clock::now() + testTimeout;
        while (!condition() && Clock::now() < end) {
            this->loop.restart();
            this->loop.run_one_for(Milliseconds(10));
        }
        BOOST_REQUIRE(condition());
    }

    EventLoop loop { 1 };
    AsyncHttpServer server;
    std::unique_ptr<StoreWatch> watch;
    bool isSilent = false;
    std::vector<std::pair<int, std::string>> watchAnswers;
    std::vector<std::shared_ptr<ServerExchange>> heldExchanges;
    size_t listingCount = 0;
    size_t listedItems = 0;
    size_t changeCalls = 0;
    size_t failureCount = 0;
    std::vector<StoreChange> changes;
};

const std::string oneChange = R"({"events":[{"key":"op/version/m","value":"e30=","revision":10}],"as-of":10})";
const std::string noChange = R"({"events":[],"as-of":10})";

} // namespace

BOOST_AUTO_TEST_CASE(listingPrecedesChanges)
{
    FakeStore store;
    store.watchAnswers = { { 200, oneChange }, { 200, noChange } };
    store.startWatch(Milliseconds(1000));
    store.runUntil([&] { return store.changeCalls == 2; });
    BOOST_TEST(store.listedItems == 1u);
    BOOST_TEST(store.changes.size() == 1u);
    BOOST_TEST(store.failureCount == 0u);
}

// When the store no longer has the history (status 410) or its revision decreases, the items are listed again. An answer
// that can't be parsed counts as a failure and doesn't cause a new listing.
BOOST_AUTO_TEST_CASE(lostHistoryIsListedAgain)
{
    for (const auto& lost : { std::pair<int, std::string> { 410, "{}" }, { 200, R"({"events":[],"as-of":3})" } }) {
        FakeStore store;
        store.watchAnswers = { lost, { 200, oneChange } };
        store.startWatch(Milliseconds(1000));
        store.runUntil([&] { return store.changeCalls == 1; });
        BOOST_TEST(store.listingCount == 2u);
    }
    FakeStore store;
    store.watchAnswers = { { 200, "{" }, { 503, "" }, { 200, oneChange } };
    store.startWatch(Milliseconds(1000));
    store.runUntil([&] { return store.changeCalls == 1; });
    BOOST_TEST(store.failureCount == 2u);
    BOOST_TEST(store.listingCount == 1u);
}

// Long-polling calls are short while the store doesn't answer, so that its return is detected soon.
BOOST_AUTO_TEST_CASE(storeRecoveryIsDetectedSoon)
{
    FakeStore store;
    store.startWatch(Milliseconds(1500));
    store.runUntil([&] { return store.listingCount == 1; });
    store.isSilent = true;
    store.runUntil([&] { return store.failureCount >= 2; });
    // Waits for a call that has just been sent and will never be answered.
    size_t before = store.heldExchanges.size();
    store.runUntil([&] { return store.heldExchanges.size() > before; });
    store.isSilent = false;
    store.watchAnswers = { { 200, oneChange } };
    auto recoveredAt = Clock::now();
    store.runUntil([&] { return store.changeCalls == 1; });
    BOOST_TEST((Clock::now() - recoveredAt < Milliseconds(1200)));
}
