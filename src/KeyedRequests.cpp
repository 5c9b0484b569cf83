#include "KeyedRequests.h"

#include "KeyOwner.h"
#include "KeyVouch.h"
#include "Node.h"
#include "Refusal.h"
#include "RefusalResponse.h"
#include "Rendezvous.h"
#include "WireHeaders.h"

#include <absl/strings/numbers.h>

namespace bilberry {

static constexpr Seconds expiryInterval { 10 };
// Until then no key is forgotten that could still be taken.
static constexpr Duration rowLifetime = keyLifetime + maxMintAhead + maxClockSkew;

KeyedRequests::KeyedRequests(Node& node)
    : node(node)
    , table({})
    , leases(node, this->table)
{
}

void KeyedRequests::tick(TimePoint now)
{
    if (now < this->expireAt)
        return;
    this->expireAt = now + expiryInterval;
    this->table.expire(now, rowLifetime);
    this->node.metrics.set("bilberry_keys", static_cast<double>(this->table.size()));
    this->node.metrics.set("bilberry_key_answer_bytes", static_cast<double>(this->table.answerBytes()));
}

HttpResponse KeyedRequests::answerAgain(const HttpRequest& request, const KeyedAnswer& answer)
{
    if (!answer.isKept)
        return refuseForwarded(this->node, request, RefusalReason::AnswerNotKept);
    HttpResponse response;
    response.status = answer.status;
    response.headers.emplace_back("Content-Type", answer.contentType);
    response.headers.emplace_back(wire::outcome, std::string(toText(Outcome::Ran)));
    response.headers.emplace_back(wire::attempt, findHeader(request.headers, wire::attempt));
    response.body = answer.body;
    return response;
}

static KeyedAttempt readAttempt(const HttpRequest& request)
{
    KeyedAttempt attempt;
    attempt.key = makeScopedKey(findHeader(request.headers, wire::service), findHeader(request.headers, wire::caller), findHeader(request.headers, wire::idempotencyKey));
    attempt.attempt = findHeader(request.headers, wire::attempt);
    uint64_t hash = hashText(request.body, hashText(request.path, hashText(request.method)));
    attempt.requestHash = hash == 0 ? 1 : hash;
    attempt.slot = findKeySlot(attempt.key);
    return attempt;
}

// The tenure in which this process vouches for the key; zero when it does not.
uint64_t KeyedRequests::findVouchedTenure(uint32_t slot, std::optional<WallTime> minted) const
{
    if (checkMint(minted, std::chrono::system_clock::now()) != MintFault::None)
        return 0;
    auto tenure = this->leases.tenure(slot);
    return tenure && coversMint(tenure->since, *minted) ? tenure->number : 0;
}

HttpResponse KeyedRequests::handle(const HttpRequest& request, const KeyedRunner& runner)
{
    auto now = Clock::now();
    // Step 1. Keys that are never taken.
    if (findHeader(request.headers, wire::idempotencyKey).size() > maxKeyLength)
        return refuseForwarded(this->node, request, RefusalReason::KeyMalformed);
    auto minted = parseMintTime(findHeader(request.headers, wire::idempotencyMinted));
    auto fault = checkMint(minted, std::chrono::system_clock::now());
    if (fault == MintFault::Missing)
        return refuseForwarded(this->node, request, RefusalReason::KeyMalformed);
    if (fault == MintFault::Ahead)
        return refuseForwarded(this->node, request, RefusalReason::KeyMintedAhead);
    // Step 2. Known keys are answered by the table, unseen ones only run where they are vouched for.
    auto attempt = readAttempt(request);
    attempt.tenure = this->findVouchedTenure(attempt.slot, minted);
    KeyedAnswer answer;
    switch (this->table.begin(attempt, now, answer)) {
    case KeyDecision::Run:
        return this->run(request, attempt, runner, now);
    case KeyDecision::AnswerAgain:
        return this->answerAgain(request, answer);
    case KeyDecision::InProgress:
        return refuseForwarded(this->node, request, RefusalReason::KeyInProgress);
    case KeyDecision::Fenced:
        return refuseForwarded(this->node, request, RefusalReason::KeyFenced);
    case KeyDecision::OutcomeUnknown:
        return refuseForwarded(this->node, request, RefusalReason::ReplyLost);
    case KeyDecision::TableFull:
        return refuseForwarded(this->node, request, RefusalReason::KeyTableFull);
    case KeyDecision::OtherRequest:
        return refuseForwarded(this->node, request, RefusalReason::KeyReused);
    case KeyDecision::NotVouched:
        break;
    }
    bool isOwner = this->leases.tenure(attempt.slot).has_value();
    return refuseForwarded(this->node, request, isOwner ? RefusalReason::NotVouched : RefusalReason::KeyNotOwned);
}

static TimePoint readDeadline(const HttpRequest& request, TimePoint receivedAt)
{
    int64_t left = 0;
    bool isNumber = absl::SimpleAtoi(findHeader(request.headers, wire::deadlineMs), &left);
    return isNumber ? receivedAt + Milliseconds(left) : TimePoint::max();
}

// Reads the rest of a response's body; false when it broke off.
static bool readWhole(HttpResponse& response)
{
    bool isWhole = true;
    while (response.stream) {
        std::string piece;
        auto step = response.stream(piece);
        response.body += piece;
        isWhole = step != BodyStep::Broken;
        if (step != BodyStep::More)
            break;
    }
    if (response.onFinished)
        response.onFinished();
    response.stream = nullptr;
    response.onFinished = nullptr;
    return isWhole;
}

HttpResponse KeyedRequests::run(const HttpRequest& request, const KeyedAttempt& attempt, const KeyedRunner& runner, TimePoint receivedAt)
{
    auto deadline = readDeadline(request, receivedAt);
    // The process may have been paused since the key was recorded: all is checked again at the moment of action.
    auto mayDispatch = [&] {
        auto tenure = this->leases.tenure(attempt.slot);
        bool isSameTenure = tenure && tenure->number == attempt.tenure;
        return isSameTenure && Clock::now() < deadline && this->table.markDispatched(attempt, Clock::now());
    };
    HttpResponse response = runner(mayDispatch);
    std::string outcome = findHeader(response.headers, wire::outcome);
    if (outcome == toText(Outcome::NotRun) || outcome == toText(Outcome::Final)) {
        bool isStillOpen = this->table.withdraw(attempt, Clock::now());
        // The slot was handed over meanwhile: the key may run at its new owner.
        if (!isStillOpen && outcome == toText(Outcome::NotRun))
            return refuseForwarded(this->node, request, RefusalReason::KeyNotOwned);
        return response;
    }
    // The answer is read whole before it is passed on, so that it can be kept.
    bool isAnswer = outcome == toText(Outcome::Ran);
    if (!readWhole(response) || !isAnswer) {
        this->table.markLost(attempt.key, Clock::now());
        return isAnswer ? refuseForwarded(this->node, request, RefusalReason::ReplyLost) : response;
    }
    this->table.finish(attempt.key, { response.status, findHeader(response.headers, "Content-Type"), response.body }, Clock::now());
    return response;
}

HttpResponse KeyedRequests::answerQuery(const HttpRequest& request)
{
    auto attempt = readAttempt(request);
    attempt.requestHash = 0;
    attempt.tenure = this->findVouchedTenure(attempt.slot, parseMintTime(findHeader(request.headers, wire::idempotencyMinted)));
    KeyedAnswer answer;
    switch (this->table.queryAndFence(attempt, Clock::now(), answer)) {
    case KeyState::Fenced:
        return refuseForwarded(this->node, request, RefusalReason::KeyFenced);
    case KeyState::Recorded:
    case KeyState::Running:
        return refuseForwarded(this->node, request, RefusalReason::KeyInProgress);
    case KeyState::FencedHere:
    case KeyState::Unseen:
    case KeyState::Lost:
        return refuseForwarded(this->node, request, RefusalReason::ReplyLost);
    case KeyState::Finished:
        break;
    }
    return this->answerAgain(request, answer);
}

} // namespace bilberry
