#define BOOST_TEST_MODULE PublishedState
#include "PublishedState.h"

#include "PauseGuard.h"
#include "PropagationQueue.h"
#include "StartGate.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace bilberry;

// A document as a faulty service may return it.
struct Offer {
    Generation generation;
    std::string text;
};

static std::string makeLiveListText(int variant)
{
    return R"({"vms":[{"vm":"vm-)" + std::to_string(variant) + R"(","state":"live"}]})";
}

static rc::Gen<Offer> arbitraryOffer()
{
    auto generation = rc::gen::weightedOneOf<Generation>({ { 12, rc::gen::inRange<Generation>(0, 12) }, { 1, rc::gen::element<Generation>(UINT64_MAX, maxGeneration + 1, maxGeneration, maxGenerationStep + 20) } });
    auto text = rc::gen::weightedOneOf<std::string>({ { 8, rc::gen::map(rc::gen::inRange(0, 3), makeLiveListText) },
        { 1, rc::gen::element<std::string>("", "{", "null", "[]", makeLiveListText(1).substr(0, 20), std::string(1 << 16, '['), std::string(1 << 20, 'x')) },
        { 1, rc::gen::arbitrary<std::string>() } });
    return rc::gen::construct<Offer>(generation, text);
}

// A process of the random histories below. It reads a service that may answer anything, gets documents from peers and may
// restart.
struct HistoryProcess {
    std::unique_ptr<PublishedState> state = std::make_unique<PublishedState>();
    Generation heldGeneration = 0; // Generation of the document held; it must never decrease.
    std::string heldText; // Text of the document held.
};

static void offerAndCheck(HistoryProcess& process, const Offer& offer, DocumentSource source)
{
    std::string error;
    auto adoption = process.state->offerDocument(DocumentKind::LiveList, offer.generation, offer.text, source, error);
    auto held = process.state->document(DocumentKind::LiveList);
    // The generation never decreases, the text never changes within one generation, and only valid documents are held.
    RC_ASSERT(held.generation >= process.heldGeneration);
    RC_ASSERT(held.generation > process.heldGeneration || held.text == process.heldText);
    RC_ASSERT(held.generation <= maxGeneration);
    RC_ASSERT(held.generation == 0 || parseLiveList(held.text, held.generation).ok());
    RC_ASSERT((adoption == AdoptionResult::Adopted) == (held.generation > process.heldGeneration));
    process.heldGeneration = held.generation;
    process.heldText = held.text;
}

// Runs one random history: answers of a faulty service, documents relayed between processes, restarts, then anti-entropy.
static void runHistory()
{
    std::vector<HistoryProcess> processes(3);
    auto steps = *rc::gen::container<std::vector<Offer>>(40, arbitraryOffer());
    Generation highestOfAll = 0;
    for (const auto& step : steps) {
        auto& process = processes[*rc::gen::inRange<size_t>(0, processes.size())];
        const auto& peer = processes[*rc::gen::inRange<size_t>(0, processes.size())];
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            // A restarted process asks a peer and the service before it acts, and adopts the document of the higher generation.
            process = HistoryProcess();
            offerAndCheck(process, step, DocumentSource::Service);
            offerAndCheck(process, { peer.heldGeneration, peer.heldText }, DocumentSource::Peer);
            RC_ASSERT(process.heldGeneration >= peer.heldGeneration);
            break;
        case 1:
        case 2:
            offerAndCheck(process, { peer.heldGeneration, peer.heldText }, DocumentSource::Peer);
            break;
        default:
            offerAndCheck(process, step, DocumentSource::Service);
        }
    }
    for (const auto& process : processes)
        highestOfAll = std::max(highestOfAll, process.heldGeneration);
    // Anti-entropy brings all processes to the highest generation.
    for (auto& process : processes) {
        for (const auto& peer : processes)
            offerAndCheck(process, { peer.heldGeneration, peer.heldText }, DocumentSource::Peer);
        RC_ASSERT(process.heldGeneration == highestOfAll);
    }
}

RC_BOOST_PROP(noHistoryOfAnswersAndRestartsLowersTheGeneration, ())
{
    // Ten histories per case are 1,000 histories with the library's default of 100 cases.
    for (int i = 0; i < 10; ++i)
        runHistory();
}

BOOST_AUTO_TEST_CASE(offersAreEvaluatedByGenerationBytesAndSource)
{
    struct Row {
        Generation generation;
        const char* digest;
        DocumentSource source;
        AdoptionResult expected;
    };
    const Row rows[] = {
        { 5, "a", DocumentSource::Service, AdoptionResult::AlreadyHeld },
        { 5, "b", DocumentSource::Service, AdoptionResult::Conflicting },
        { 4, "a", DocumentSource::Peer, AdoptionResult::Older },
        { 0, "a", DocumentSource::Service, AdoptionResult::Implausible },
        { 6, "b", DocumentSource::Service, AdoptionResult::Adopted },
        { 7, "bad", DocumentSource::Peer, AdoptionResult::AlreadyRejected },
        { 7, "whole", DocumentSource::Peer, AdoptionResult::Adopted },
        { maxGeneration + 1, "b", DocumentSource::Peer, AdoptionResult::Implausible },
        { 5 + maxGenerationStep, "b", DocumentSource::Service, AdoptionResult::Adopted },
        { 6 + maxGenerationStep, "b", DocumentSource::Service, AdoptionResult::Implausible },
        { 6 + maxGenerationStep, "b", DocumentSource::Peer, AdoptionResult::Adopted },
    };
    for (const auto& row : rows) {
        AdoptionState state { { 5, "a" }, { 7, "bad" }, 0, {} };
        BOOST_TEST((evaluateOffer(state, { row.generation, row.digest }, row.source, Clock::now()) == row.expected), row.generation << " " << row.digest);
    }
}

BOOST_AUTO_TEST_CASE(aLargeStepIsAdoptedOnlyAfterASecondRead)
{
    AdoptionState state { { 5, "a" }, {}, 0, {} };
    DocumentVersion jump { maxGenerationStep * 2, "b" };
    auto now = Clock::now();
    auto evaluate = [&](Milliseconds after) { return evaluateOffer(state, jump, DocumentSource::Service, now + after); };
    BOOST_TEST((evaluate(Milliseconds(0)) == AdoptionResult::Implausible));
    BOOST_TEST((evaluate(jumpConfirmationDelay / 2) == AdoptionResult::Implausible));
    BOOST_TEST((evaluate(jumpConfirmationDelay) == AdoptionResult::Adopted));
    // A jump that was served only once does not block the adoption of ordinary generations.
    BOOST_TEST((evaluateOffer(state, { 6, "c" }, DocumentSource::Service, now) == AdoptionResult::Adopted));
}

BOOST_AUTO_TEST_CASE(documentsAreNotVisibleBeforeActivation)
{
    PublishedState state;
    std::string error;
    BOOST_TEST((state.offerDocument(DocumentKind::LiveList, 3, makeLiveListText(1), DocumentSource::Peer, error) == AdoptionResult::Adopted));
    BOOST_TEST(!state.liveList());
    state.activate();
    BOOST_TEST(state.liveList()->generation == 3);
    BOOST_TEST((state.offerDocument(DocumentKind::LiveList, 4, "{", DocumentSource::Peer, error) == AdoptionResult::Invalid));
    BOOST_TEST(state.liveList()->generation == 3);
    BOOST_TEST(!state.shouldFetch(DocumentKind::LiveList, makeVersion(4, "{")));
    BOOST_TEST(state.shouldFetch(DocumentKind::LiveList, { 4, "another" }));
}

BOOST_AUTO_TEST_CASE(aProcessStartsAfterAllAnswersOrTheTimeout)
{
    TimePoint start = Clock::now();
    BOOST_TEST(!mayStart({ start, false, true, true }, start + std::chrono::hours(1)));
    BOOST_TEST(mayStart({ start, true, true, true }, start));
    BOOST_TEST(!mayStart({ start, true, false, true }, start));
    BOOST_TEST(!mayStart({ start, true, true, false }, start));
    BOOST_TEST(mayStart({ start, true, false, false }, start + startTimeout));
}

RC_BOOST_PROP(noWorkIsTakenAfterAPauseBeforeAnAnswerOrTheTimeout, (std::vector<uint16_t> gaps, std::vector<bool> answers))
{
    PauseState state;
    TimePoint now = TimePoint {} + std::chrono::hours(1);
    TimePoint resumedAt {};
    bool hasRead = true;
    for (size_t i = 0; i < gaps.size(); ++i) {
        TimePoint before = now;
        now += Milliseconds(gaps[i] % (2 * pauseThreshold.count()));
        bool wasPaused = i > 0 && now - before > pauseThreshold;
        RC_ASSERT(!wasPaused || !mayAct(state, now));
        recordTick(state, now);
        if (wasPaused) {
            resumedAt = now;
            hasRead = false;
            // An answer to a message sent before the pause is ignored.
            recordAnswer(state, before);
        }
        if (i < answers.size() && answers[i]) {
            recordAnswer(state, now);
            hasRead = true;
        }
        RC_ASSERT(mayAct(state, now) == (hasRead || now - resumedAt >= answerTimeout));
    }
}

BOOST_AUTO_TEST_CASE(aQueuedFetchIsReplacedUnlessTheNewGenerationIsLower)
{
    PropagationQueue queue;
    auto request = [&](const char* address, Generation generation) { queue.requestFetch(DocumentKind::Configuration, { address, { generation, "digest" } }); };
    request("a", 4);
    request("b", 5);
    request("c", 4);
    auto work = queue.takeWork(Milliseconds(0));
    BOOST_TEST(work.fetches[static_cast<size_t>(DocumentKind::Configuration)].peerAddress == "b");
    BOOST_TEST(queue.takeWork(Milliseconds(0)).fetches[0].peerAddress.empty());
}
