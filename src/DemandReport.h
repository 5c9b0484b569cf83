/// What entries tell each other about the load on services while it is high, in a datagram of its own: the engine time that
/// client accounts use, and how fast endpoints work. Entries of the previous release drop it.
#pragma once

#include "Types.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <vector>

namespace bilberry {

/// The engine time that an account's requests use and ask for at a service, as the entries of one data centre count it.
struct AccountUse {
    uint32_t account = 0; ///< accountHash() of the service and the account.
    uint32_t engineTime = 0; ///< Engine milliseconds per second of the requests that were dispatched.
    uint32_t askedTime = 0; ///< Engine milliseconds per second of all requests, dispatched or not.
};

/// The use of all accounts, as the entries of one data centre add it up.
struct DataCentreUse {
    std::string dataCentre;
    Milliseconds age { 0 }; ///< Time since it was added up.
    std::vector<AccountUse> accounts; ///< Those whose use isn't zero.
};

/// How fast an endpoint works, by its own statement.
struct WorkTimeReport {
    uint32_t endpoint = 0; ///< endpointHash() of the endpoint's id.
    uint32_t percent = 100; ///< The time that work takes there, as a percentage of the usual time.
    Milliseconds age { 0 }; ///< Time since the endpoint stated it.
};

struct DemandReport {
    std::string dataCentre; ///< The sender's data centre.
    std::vector<AccountUse> accounts; ///< The use of the sender's own requests.
    std::vector<DataCentreUse> otherDataCentres; ///< What the sender knows of the use in the data centres that the receiver isn't in.
    std::vector<WorkTimeReport> workTimes;
};

/// Returns the hash of a service's account, which is the same in all processes. Thread safe.
uint32_t accountHash(const std::string& service, const std::string& account);
/// Whether there is nothing to report.
bool isEmpty(const DemandReport&);
/// Encodes the report as a datagram. Thread safe.
std::string encodeDemandReport(const DemandReport&);
/// Returns InvalidArgument for bytes that aren't such a report. Thread safe.
absl::StatusOr<DemandReport> decodeDemandReport(const std::string& bytes);

} // namespace bilberry
