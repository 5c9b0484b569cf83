/// Reads the answers of processes to the method `status`, formats them for operators and finds processes that disagree on the
/// configuration. Pure functions over plain structs.
#pragma once

#include "VmStatus.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bilberry {

/// The last report of a VM that one process has received.
struct ReportedVm {
    VmStatus status;
    Milliseconds reportAge { 0 }; ///< The time since the report, as the process stated it.
};

/// One process's answer to the method `status`.
struct ProcessStatus {
    std::string address; ///< The IP:port that the answer came from.
    std::string vm;
    std::string role;
    std::string dataCentre;
    std::string version;
    uint64_t incarnation = 0; ///< The start of the process in Unix milliseconds.
    bool isLeaving = false;
    uint32_t inProgress = 0;
    Generation configurationGeneration = 0;
    std::string configurationDigest;
    Generation liveListGeneration = 0;
    std::vector<ReportedVm> vms; ///< Sorted by name.
};

/// Parses the answer of the process at `address`. Returns nothing when it is malformed. Thread safe.
std::optional<ProcessStatus> parseProcessStatus(const nlohmann::json&, const std::string& address);

/// Finds processes that disagree on the configuration. Each line names one of several generations in force, or one of several
/// digests of the same generation, with its VMs. The result is empty when all agree. Thread safe.
std::vector<std::string> findDisagreements(const std::vector<ProcessStatus>&);

/// Formats the status as lines of text for a person. Thread safe.
std::string formatStatus(const ProcessStatus&);
/// Converts the status to JSON for a program.
nlohmann::json toJson(const ProcessStatus&);

} // namespace bilberry
