/// The part of an endpoint's process that concerns unrepeatable requests with a key.

#include "Endpoint.h"
#include "Refusal.h"
#include "WireHeaders.h"

namespace bilberry {

// Longest answer that is kept for re-sends of a key, in bytes.
static constexpr size_t maxKeptAnswer = size_t(64) * 1024;

// Runs a request that has a key: recorded before it is forwarded, its answer kept.
HttpResponse Endpoint::runKeyed(const HttpRequest& request, const Vm& vm, const Configuration& configuration, const std::string& key)
{
    KeyedAnswer answer;
    auto decision = this->keys.begin(key, findHeader(request.headers, wire::attempt), Clock::now(), answer);
    switch (decision) {
    case KeyDecision::Run:
        break;
    case KeyDecision::AnswerAgain: {
        HttpResponse response;
        response.status = answer.status;
        response.headers.emplace_back("Content-Type", answer.contentType);
        response.headers.emplace_back(wire::outcome, std::string(toText(Outcome::Ran)));
        response.headers.emplace_back(wire::attempt, findHeader(request.headers, wire::attempt));
        response.body = answer.body;
        return response;
    }
    case KeyDecision::InProgress:
        return this->refuse(request, RefusalReason::KeyInProgress);
    case KeyDecision::Fenced:
        return this->refuse(request, RefusalReason::KeyFenced);
    case KeyDecision::OutcomeUnknown:
        return this->refuse(request, RefusalReason::ReplyLost);
    case KeyDecision::TableFull:
        return this->refuse(request, RefusalReason::KeyTableFull);
    }
    HttpResponse response = this->runAtBackEnd(request, vm, configuration);
    std::string outcome = findHeader(response.headers, wire::outcome);
    if (outcome == toText(Outcome::NotRun)) {
        this->keys.withdraw(key);
        return response;
    }
    // The answer is read whole before it is passed on, so that it can be kept.
    bool isWhole = outcome == toText(Outcome::Ran);
    std::string body;
    while (response.stream) {
        std::string piece;
        auto step = response.stream(piece);
        body += piece;
        isWhole = isWhole && step != BodyStep::Broken;
        if (step != BodyStep::More)
            break;
    }
    if (response.onFinished)
        response.onFinished();
    response.stream = nullptr;
    response.onFinished = nullptr;
    if (!isWhole) {
        this->keys.markLost(key, Clock::now());
        return outcome == toText(Outcome::Ran) ? this->refuse(request, RefusalReason::ReplyLost) : response;
    }
    response.body = body;
    this->keys.finish(key, { response.status, findHeader(response.headers, "Content-Type"), body.substr(0, maxKeptAnswer) }, Clock::now());
    return response;
}

HttpResponse Endpoint::answerKeyQuery(const HttpRequest& request)
{
    KeyedAnswer answer;
    auto state = this->keys.queryAndFence(findHeader(request.headers, wire::idempotencyKey), findHeader(request.headers, wire::attempt), Clock::now(), answer);
    switch (state) {
    case KeyState::Unseen:
    case KeyState::Fenced:
        return this->refuse(request, RefusalReason::ConnectFailed);
    case KeyState::Running:
        return this->refuse(request, RefusalReason::KeyInProgress);
    case KeyState::Lost:
        return this->refuse(request, RefusalReason::ReplyLost);
    case KeyState::Finished:
        break;
    }
    HttpResponse response;
    response.status = answer.status;
    response.headers.emplace_back("Content-Type", answer.contentType);
    response.headers.emplace_back(wire::outcome, std::string(toText(Outcome::Ran)));
    response.body = answer.body;
    return response;
}

} // namespace bilberry
