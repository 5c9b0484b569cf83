/// What processes say of themselves, read and laid out for operators. Pure functions over plain structs.
#pragma once

#include "VmStatus.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bilberry {

/// A VM as one process has heard of it.
struct ReportedVm {
    VmStatus status;
    Milliseconds reportAge { 0 };
};

/// One process's answer to the method `status`.
struct ProcessStatus {
    std::string address; ///< IP:port that was asked.
    std::string vm;
    std::string role;
    std::string dataCentre;
    std::string version;
    uint64_t incarnation = 0;
    bool isLeaving = false;
    uint32_t inProgress = 0;
    Generation configurationGeneration = 0;
    std::string configurationDigest;
    Generation liveListGeneration = 0;
    std::vector<ReportedVm> vms; ///< By name.
};

/// Nothing when the answer is malformed. Thread safe.
std::optional<ProcessStatus> parseProcessStatus(const nlohmann::json&, const std::string& address);

/// One line for each point on which processes disagree: the generation in force, or its bytes. Thread safe.
std::vector<std::string> findDisagreements(const std::vector<ProcessStatus>&);

/// Lines for a person. Thread safe.
std::string formatStatus(const ProcessStatus&);
nlohmann::json toJson(const ProcessStatus&);

} // namespace bilberry
