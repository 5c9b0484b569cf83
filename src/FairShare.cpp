#include "FairShare.h"

#include <algorithm>

namespace bilberry {

// What a request of a plain service counts.
static constexpr FractionalMilliseconds plainRequestTime { 100 };
// Largest number of tokens that count, relative to the usual one: what a caller states may be anything.
static constexpr double maxTokensToUsual = 32;
// Least number of tokens that is taken for the usual one in this.
static constexpr double leastUsualTokens = 100;
// Part of the service that all accounts get on average which each one gets at least, also if it asks for far more than the others.
static constexpr double guaranteedPart = 1.0 / 3;
// Use from which an account that was within its share is beyond it, relative to the share. It keeps the answer from changing with
// each request.
static constexpr double toleratedUse = 1.2;

static double countedTokens(uint32_t stated, double usual)
{
    return stated > 0 ? std::min<double>(stated, maxTokensToUsual * std::max(usual, leastUsualTokens)) : usual;
}

FractionalMilliseconds expectedEngineTime(const EnginePerformance* engine, uint32_t promptTokens, uint32_t answerTokens)
{
    if (!engine)
        return plainRequestTime;
    double prompt = countedTokens(promptTokens, engine->typicalPromptTokens);
    double answer = countedTokens(answerTokens, engine->typicalAnswerTokens);
    // 1. Read the prompt; each token is paired with all earlier ones.
    FractionalMilliseconds reading(1000 * prompt / std::max(engine->prefillTokensPerSecond, 1.0));
    reading += prompt * prompt / 2 / 1e6 * engine->prefillTimePerMillionPairs;
    // 2. Write the answer, in steps that all slots share.
    double meanContext = prompt + answer / 2;
    auto step = engine->stepTime / std::max(engine->slots, 1U) + engine->stepTimePerRequest + meanContext / 1000 * engine->stepTimePerThousandTokens;
    return reading + answer * step;
}

static double demandOf(const AccountDemand& account)
{
    return std::max(account.asked, account.used);
}

namespace {

// The amount per weight from which the share of an account begins or ceases to grow.
struct LevelChange {
    double level = 0;
    double growth = 0; // Change of the growth of all shares together.
};

} // namespace

// Returns the amount per weight at which the shares, each of which is kept between its floor and its demand, add up to `capacity`.
static double findLevel(const std::vector<AccountDemand>& accounts, const std::vector<double>& floors, double capacity)
{
    std::vector<LevelChange> changes;
    double sum = 0;
    for (size_t i = 0; i < accounts.size(); ++i) {
        sum += floors[i];
        changes.push_back({ floors[i] / accounts[i].weight, accounts[i].weight });
        changes.push_back({ demandOf(accounts[i]) / accounts[i].weight, -accounts[i].weight });
    }
    std::sort(changes.begin(), changes.end(), [](const LevelChange& first, const LevelChange& second) { return first.level < second.level; });
    double level = 0;
    double growth = 0;
    for (const auto& change : changes) {
        double next = sum + growth * (change.level - level);
        if (next >= capacity && growth > 0)
            return level + (capacity - sum) / growth;
        sum = next;
        level = change.level;
        growth += change.growth;
    }
    return level;
}

std::vector<double> fairShares(const std::vector<AccountDemand>& accounts)
{
    double capacity = 0;
    double demand = 0;
    for (const auto& account : accounts) {
        capacity += account.used;
        demand += demandOf(account);
    }
    std::vector<double> shares;
    shares.reserve(accounts.size());
    // 1. An account gets its guaranteed part, or all that it asks for if there is room for that.
    double servedPart = demand > capacity ? guaranteedPart * capacity / demand : 1;
    for (const auto& account : accounts)
        shares.push_back(servedPart * demandOf(account));
    if (demand <= capacity)
        return shares;
    // 2. What is left goes first to those who have least.
    double level = findLevel(accounts, shares, capacity);
    for (size_t i = 0; i < accounts.size(); ++i)
        shares[i] = std::clamp(level * accounts[i].weight, shares[i], demandOf(accounts[i]));
    return shares;
}

bool isBeyondShare(double used, double share, bool wasBeyond)
{
    return used > (wasBeyond ? share : toleratedUse * share);
}

} // namespace bilberry
