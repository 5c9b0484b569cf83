/// What an entry knows of the demand of client accounts at services whose requests have ranks: its own requests, the reports of the
/// other entries of its data centre, and the sums of other data centres. From these it decides which accounts are beyond their
/// fair shares (see FairShare.h). It holds state only; PeerExchange sends and receives the reports. All of it is forgotten within
/// seconds: an entry counts until its last report is 1.2 s old, the sum of a data centre until it is 2 s old. What isn't heard in
/// time makes the shares coarser, but keeps no request from an endpoint.
#pragma once

#include "DecayingRate.h"
#include "DemandReport.h"
#include "EntryConfiguration.h"
#include "PeerSchedule.h"
#include "RequestRank.h"
#include "Types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// The demand of an account at a service, in engine milliseconds per second.
struct AccountDemandRow {
    std::string service;
    std::string account;
    uint32_t hash = 0; ///< accountHash() of both.
    std::optional<int> priority; ///< The account's own priority. Accounts share what those of higher priority leave.
    DecayingRate asked; ///< Of all requests that arrived at this entry.
    DecayingRate used; ///< Of the requests that this entry dispatched.
    // These are updated by updateShares().
    double fleetAsked = 0; ///< Of all entries, as far as it is known.
    double fleetUsed = 0;
    double share = 0; ///< The account's share of what its service gives to accounts of its priority.
    bool isBeyondShare = false;
    // These are for the log of the entry.
    bool isLoggedBeyond = false; ///< What the log last told of the account.
    TimePoint loggedAt {};
};

/// A request that counts in its account's demand.
struct CountedRequest {
    RequestRank rank; ///< As by rankOf().
    FractionalMilliseconds engineTime { 0 }; ///< Expected time for which it occupies an engine.
};

/// The requests of one rank at this entry, in engine milliseconds per second.
struct RankDemandRow {
    RequestRank rank; ///< As by rankOf().
    DecayingRate asked; ///< Of all.
    DecayingRate refused; ///< Of those for which there was no room.
    bool isShort = false; ///< Whether a twentieth is refused; set by updateShares().
};

/// A service of whose accounts the demand is counted.
struct ServiceDemandRow {
    std::string service;
    size_t firstAccount = 0; ///< Position of the first of its accounts.
    size_t endAccount = 0; ///< Position after the last of its accounts.
    bool isWaiting = false; ///< Whether requests wait at this entry for its endpoints. To be set before updateShares().
    TimePoint refusedAt {}; ///< When this entry last refused a request since there was no room for it.
    std::vector<RankDemandRow> ranks; ///< Those of which requests arrived.
    bool isShort = false; ///< Whether there isn't room for all at present, here or at other entries; set by updateShares().
    uint32_t beyondCount = 0; ///< Number of accounts beyond their shares; set by updateShares().
};

/// The last report of another entry of this data centre.
struct PeerDemandRow {
    std::vector<AccountUse> accounts;
    TimePoint receivedAt {};
};

/// The last sum of another data centre.
struct DataCentreDemandRow {
    std::vector<AccountUse> accounts;
    TimePoint madeAt {};
    bool isToBePassedOn = false; ///< Whether it came directly from that data centre, and the other entries of this one don't have it.
};

/// Used by one thread at a time.
struct DemandTable {
    std::string ownDataCentre;
    EntryConfigurationPointer configuration; ///< The one whose services and accounts the rows are; null: none.
    std::vector<ServiceDemandRow> services;
    std::vector<AccountDemandRow> accounts; ///< Sorted by service, then by priority.
    std::unordered_map<uint32_t, size_t> accountByHash; ///< Positions in `accounts`; the key is accountHash().
    std::map<std::string, PeerDemandRow> peers; ///< The key is the IP address of the entry.
    std::map<std::string, DataCentreDemandRow> dataCentres; ///< The key is the data centre.
    TimePoint reportedAt {}; ///< When the last report for the entries of this data centre was made.
    TimePoint loggedAt {}; ///< When the log last told of an account.
};

/// Takes over the services with ranked routes, and the accounts, of a configuration. Rows of accounts that remain keep their rates.
void setConfiguration(DemandTable&, EntryConfigurationPointer);
/// Returns the account's row; null if its demand isn't counted. The row is valid until setConfiguration(). `hash` is accountHash().
AccountDemandRow* findAccountDemand(DemandTable&, uint32_t hash);
const AccountDemandRow* findAccountDemand(const DemandTable&, uint32_t hash);
/// Returns the service's row; null if its demand isn't counted.
ServiceDemandRow* findServiceDemand(DemandTable&, const std::string& service);
const ServiceDemandRow* findServiceDemand(const DemandTable&, const std::string& service);

/// Count a request of the account as asked for, and as refused since there was no room for it. The row must be one of the table's.
void noteAsked(DemandTable&, AccountDemandRow&, const CountedRequest&, TimePoint now);
void noteRefused(DemandTable&, const AccountDemandRow&, const CountedRequest&, TimePoint now);
/// Whether a request of the account gives way to the others of its rank: the account is beyond its share, and requests of this or a
/// higher rank are short of room. The rank is that by rankOf(). Thread safe while the table doesn't change.
bool givesWay(const DemandTable&, const AccountDemandRow&, const RequestRank&);
/// Decides which accounts are beyond their shares: none of a service while no request waits for it at this entry or was refused in the
/// last second. Takes time in proportion to the number of accounts, so that it is to be called on each tick rather than for each
/// request.
void updateShares(DemandTable&, TimePoint now);

/// Returns the demand that goes along with messages of that scope: the own one, and sums that came directly from other data centres,
/// within this data centre; the sum of this data centre, to others. It is empty while there is room for all, and within a data
/// centre until 100 ms after the last report.
DemandReport makeDemandReport(DemandTable&, PeerMessageScope, TimePoint now);
/// Applies the demand in a report of another entry, whose IP address is given.
void applyDemandReport(DemandTable&, const std::string& ip, const DemandReport&, TimePoint now);

} // namespace bilberry
