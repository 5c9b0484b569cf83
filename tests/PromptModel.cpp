#include "PromptModel.h"

#include "PromptSuspects.h"

#include <algorithm>
#include <random>
#include <string>

namespace bilberry {

namespace {

struct ModelRequest {
    std::vector<uint64_t> parts;
    bool isSound = true;
    Milliseconds arrivedAt { 0 };
    Milliseconds firstEventAt { 0 };
    Milliseconds endsAt { 0 };
};

struct ModelEntry {
    PromptSuspects suspects;
    std::vector<std::pair<Milliseconds, PartEvidence>> incoming;
};

constexpr Milliseconds modelStep { 10 };
constexpr Milliseconds onsetAt { 10'000 };
constexpr Milliseconds lossesAt { 30'000 };
constexpr Milliseconds playTime { 90'000 };
constexpr Milliseconds contactTime { 3'000 };
constexpr uint64_t crashingAccount = 1; // It is the id of its first part, too.

constexpr TimePoint start { std::chrono::hours(1) };

struct ModelFleet {
    explicit ModelFleet(const ModelPlay& play)
        : play(play)
        , random(play.seed)
        , entries(6)
        , running(play.endpoints)
        , endpointIds(play.endpoints)
        , downUntil(play.endpoints)
    {
        for (auto& id : this->endpointIds)
            id = this->nextEndpointId++;
    }

    int draw(int first, int last) { return std::uniform_int_distribution<int>(first, last)(this->random); }

    ModelRequest makeRequest()
    {
        ModelRequest request;
        request.arrivedAt = this->now;
        request.isSound = this->now < onsetAt || this->play.crashingParts.empty() || this->draw(1, this->play.crashingOneIn) != 1;
        auto account = request.isSound ? static_cast<uint64_t>(this->draw(1, this->play.accounts)) : crashingAccount;
        request.parts = { account, static_cast<uint64_t>(this->draw(100, 136)) };
        if (this->draw(0, 1) == 1)
            request.parts.push_back(static_cast<uint64_t>(this->draw(200, 236)));
        if (!request.isSound)
            request.parts[1] = this->play.crashingParts[static_cast<size_t>(this->draw(0, static_cast<int>(this->play.crashingParts.size()) - 1))];
        request.firstEventAt = this->now + Milliseconds(this->draw(80, 400));
        request.endsAt = request.firstEventAt + Milliseconds(request.isSound ? this->draw(400, 3000) : this->draw(40, 150));
        return request;
    }

    // Tells the other entries, each after a time of its own.
    void report(size_t entry, const PartEvidence& evidence)
    {
        auto& suspects = this->entries[entry].suspects;
        bool isClearance = evidence.crashedEndpoint == 0;
        bool hasChanged = isClearance ? clearPart(suspects, evidence.part) : addPartCrash(suspects, evidence.part, evidence.crashedEndpoint, start + this->now);
        if (!hasChanged)
            return;
        for (size_t other = 0; other < this->entries.size(); ++other) {
            if (other != entry && this->draw(1, 100) > this->play.lostReportsPercent)
                this->entries[other].incoming.emplace_back(this->now + Milliseconds(this->draw(40, 400)), evidence);
        }
    }

    void receiveReports()
    {
        for (auto& entry : this->entries) {
            auto isDue = [&](const auto& row) { return row.first <= this->now; };
            for (const auto& [at, evidence] : entry.incoming) {
                if (at > this->now)
                    continue;
                if (evidence.crashedEndpoint == 0)
                    clearPart(entry.suspects, evidence.part);
                else
                    addPartCrash(entry.suspects, evidence.part, evidence.crashedEndpoint, start + this->now);
            }
            entry.incoming.erase(std::remove_if(entry.incoming.begin(), entry.incoming.end(), isDue), entry.incoming.end());
        }
    }

    bool clears() const { return this->play.policy != Policy::PlainCount; }

    static bool hasThreeCrashes(const PromptSuspects& suspects, uint64_t part)
    {
        auto row = suspects.rows.find(part);
        return row != suspects.rows.end() && row->second.runs.size() >= 3;
    }

    bool isRefused(const PromptSuspects& suspects, const ModelRequest& request) const
    {
        if (this->play.policy == Policy::Separated)
            return hasRefusedPart(suspects, request.parts) || mustWaitForSuspects(suspects, request.parts);
        bool isAccused = std::any_of(request.parts.begin(), request.parts.end(), [&](uint64_t part) { return hasThreeCrashes(suspects, part); });
        return isAccused || (this->clears() && mustWaitForSuspects(suspects, request.parts));
    }

    bool takeTrial(size_t entry, const ModelRequest& request)
    {
        auto& suspects = this->entries[entry].suspects;
        bool isTrial = this->play.policy == Policy::Separated && hasRefusedPart(suspects, request.parts);
        std::vector<std::string> others;
        for (size_t other = 0; other < this->entries.size(); ++other) {
            if (other != entry)
                others.push_back(std::to_string(other));
        }
        if (!isTrial || !isTrialDue(suspects, request.parts, std::to_string(entry), others, start + this->now))
            return false;
        noteTrial(suspects, request.parts, start + this->now);
        return true;
    }

    void arrive()
    {
        auto entry = static_cast<size_t>(this->draw(0, static_cast<int>(this->entries.size()) - 1));
        auto& suspects = this->entries[entry].suspects;
        auto request = this->makeRequest();
        bool isBefore = this->now < onsetAt;
        bool isAfter = this->now >= this->countsAfter;
        bool isCounted = request.isSound && request.parts.front() == crashingAccount;
        this->tally.soundBefore += isBefore && isCounted;
        this->tally.soundAfter += isAfter && isCounted;
        this->tally.sound += isCounted;
        if (this->isRefused(suspects, request) && !this->takeTrial(entry, request)) {
            this->tally.refused += isCounted;
            return;
        }
        auto endpoint = static_cast<size_t>(this->draw(0, static_cast<int>(this->running.size()) - 1));
        if (this->downUntil[endpoint] > this->now)
            return;
        this->tally.begunBefore += isBefore && isCounted;
        this->tally.begunAfter += isAfter && isCounted;
        noteSentParts(suspects, request.parts);
        auto fifth = request.isSound ? this->tally.fifthCrashAt.end() : this->tally.fifthCrashAt.find(request.parts[1]);
        if (fifth != this->tally.fifthCrashAt.end() && this->now >= fifth->second + contactTime)
            ++this->tally.sentLate[request.parts[1]];
        this->running[endpoint].emplace_back(entry, request);
    }

    void crash(size_t endpoint)
    {
        for (const auto& [entry, request] : this->running[endpoint]) {
            noteReleasedParts(this->entries[entry].suspects, request.parts);
            bool hasRunOn = this->clears() && this->now - request.firstEventAt >= Milliseconds(300);
            for (uint64_t part : request.parts) {
                if (!hasRunOn)
                    this->report(entry, { part, this->endpointIds[endpoint] });
            }
        }
        this->running[endpoint].clear();
        this->endpointIds[endpoint] = this->nextEndpointId++;
        this->downUntil[endpoint] = this->now + Milliseconds(this->draw(2000, 4000));
    }

    void noteCrash(uint64_t part)
    {
        if (++this->tally.crashes[part] == 5)
            this->tally.fifthCrashAt[part] = this->now;
        if (this->tally.crashes[part] <= 5)
            this->countsAfter = this->now + 2 * contactTime;
    }

    // Ends the requests at an endpoint whose time has come; a crashing one ends the endpoint.
    void advance(size_t endpoint)
    {
        auto& requests = this->running[endpoint];
        auto isEnding = [&](const auto& row) { return row.second.endsAt <= this->now; };
        auto crashing = std::find_if(requests.begin(), requests.end(), [&](const auto& row) { return isEnding(row) && !row.second.isSound; });
        if (crashing != requests.end()) {
            this->noteCrash(crashing->second.parts[1]);
            this->crash(endpoint);
            return;
        }
        for (const auto& row : requests) {
            if (!isEnding(row))
                continue;
            noteReleasedParts(this->entries[row.first].suspects, row.second.parts);
            for (uint64_t part : row.second.parts) {
                if (this->clears())
                    this->report(row.first, { part, 0 });
            }
        }
        requests.erase(std::remove_if(requests.begin(), requests.end(), isEnding), requests.end());
    }

    // Now and then one endpoint ends by itself, and once a third of them at the same moment.
    void loseEndpoints()
    {
        if (this->draw(1, 400) == 1)
            this->crash(static_cast<size_t>(this->draw(0, static_cast<int>(this->running.size()) - 1)));
        if (this->now != lossesAt)
            return;
        for (size_t endpoint = 0; endpoint < this->running.size() / 3; ++endpoint)
            this->crash(endpoint);
    }

    void loseNextEndpoint()
    {
        if (this->lostEndpoints == this->running.size() || this->now < lossesAt + static_cast<int>(this->lostEndpoints) * *this->play.timeBetweenLosses)
            return;
        this->crash(this->lostEndpoints++);
        this->countsAfter = this->now + 2 * contactTime;
    }

    ModelTally run()
    {
        for (; this->now < playTime; this->now += modelStep) {
            this->receiveReports();
            for (size_t endpoint = 0; endpoint < this->running.size(); ++endpoint)
                this->advance(endpoint);
            if (this->play.losesEndpoints)
                this->loseEndpoints();
            if (this->play.timeBetweenLosses)
                this->loseNextEndpoint();
            for (auto& entry : this->entries)
                removeExpiredSuspects(entry.suspects, start + this->now);
            if (this->draw(1, 100) <= this->play.arrivalPercent)
                this->arrive();
        }
        return this->tally;
    }

    ModelPlay play;
    std::mt19937_64 random;
    std::vector<ModelEntry> entries;
    std::vector<std::vector<std::pair<size_t, ModelRequest>>> running; ///< By endpoint, with the entry.
    std::vector<uint32_t> endpointIds;
    std::vector<Milliseconds> downUntil;
    uint32_t nextEndpointId = 1;
    size_t lostEndpoints = 0; ///< Number of endpoints that were lost one after another.
    Milliseconds now { 0 };
    Milliseconds countsAfter { playTime };
    ModelTally tally;
};

} // namespace

ModelTally playFleet(const ModelPlay& play)
{
    return ModelFleet(play).run();
}

} // namespace bilberry
