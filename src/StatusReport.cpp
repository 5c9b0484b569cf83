#include "StatusReport.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

// The number of characters of a digest that are shown to a person.
static constexpr size_t shownDigestLength = 19;

static ReportedVm parseReportedVm(const json& row)
{
    ReportedVm vm;
    vm.reportAge = Milliseconds(row.at("age_ms").get<int64_t>());
    vm.status.vm = row.at("vm").get<std::string>();
    vm.status.generation = row.at("generation").get<Generation>();
    vm.status.isLeaving = row.at("is_leaving").get<bool>();
    vm.status.isCold = row.at("is_cold").get<bool>();
    vm.status.requestsInProgress = row.at("in_progress").get<uint32_t>();
    vm.status.admissionLimit = row.at("limit").get<uint32_t>();
    for (const auto& served : row.at("served"))
        vm.status.servedModels.push_back({ served.at("model").get<std::string>(), served.at("digest").get<std::string>() });
    return vm;
}

std::optional<ProcessStatus> parseProcessStatus(const json& answer, const std::string& address)
{
    try {
        ProcessStatus status;
        status.address = address;
        status.vm = answer.at("vm").get<std::string>();
        status.role = answer.at("role").get<std::string>();
        status.dataCentre = answer.at("data_centre").get<std::string>();
        status.version = answer.at("version").get<std::string>();
        status.incarnation = answer.at("incarnation").get<uint64_t>();
        status.isLeaving = answer.at("is_leaving").get<bool>();
        status.inProgress = answer.at("in_progress").get<uint32_t>();
        for (const auto& document : answer.at("documents")) {
            bool isConfiguration = document.at("kind").get<std::string>() == "configuration";
            (isConfiguration ? status.configurationGeneration : status.liveListGeneration) = document.at("generation").get<Generation>();
            if (isConfiguration)
                status.configurationDigest = document.at("digest").get<std::string>();
        }
        for (const auto& row : answer.at("vms"))
            status.vms.push_back(parseReportedVm(row));
        std::sort(status.vms.begin(), status.vms.end(), [](const ReportedVm& first, const ReportedVm& second) { return first.status.vm < second.status.vm; });
        return status;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::vector<std::string> findDisagreements(const std::vector<ProcessStatus>& processes)
{
    std::map<Generation, std::vector<std::string>> byGeneration;
    std::map<Generation, std::map<std::string, std::vector<std::string>>> byDigest;
    for (const auto& process : processes) {
        byGeneration[process.configurationGeneration].push_back(process.vm);
        byDigest[process.configurationGeneration][process.configurationDigest].push_back(process.vm);
    }
    std::vector<std::string> lines;
    if (byGeneration.size() > 1) {
        for (const auto& [generation, vms] : byGeneration)
            lines.push_back(fmt::format("generation {} is in force at {}", generation, fmt::join(vms, ", ")));
    }
    for (const auto& [generation, digests] : byDigest) {
        if (digests.size() < 2)
            continue;
        for (const auto& [digest, vms] : digests)
            lines.push_back(fmt::format("generation {} has the digest {} at {}", generation, digest.substr(0, shownDigestLength), fmt::join(vms, ", ")));
    }
    return lines;
}

static std::string formatReportedVm(const ReportedVm& row)
{
    const VmStatus& status = row.status;
    std::string text = fmt::format("  {:<28} reported {:>6} ms ago  generation {:<6}", status.vm, row.reportAge.count(), status.generation);
    if (status.admissionLimit > 0)
        text += fmt::format("  {} of {} requests", status.requestsInProgress, status.admissionLimit);
    for (const auto& served : status.servedModels)
        text += fmt::format("  serves {} {}", served.model, served.digest.substr(0, shownDigestLength));
    if (status.isCold)
        text += "  cold";
    if (status.isLeaving)
        text += "  leaving";
    return text + "\n";
}

std::string formatStatus(const ProcessStatus& process)
{
    std::string text = fmt::format("{} at {}: {} in {}, version {}{}\n", process.vm, process.address, process.role, process.dataCentre, process.version, process.isLeaving ? ", leaving" : "");
    text += fmt::format("  configuration generation {}, live list generation {}, {} requests in progress, reports of {} VMs\n",
        process.configurationGeneration, process.liveListGeneration, process.inProgress, process.vms.size());
    for (const auto& row : process.vms)
        text += formatReportedVm(row);
    return text;
}

json toJson(const ProcessStatus& process)
{
    json vms = json::array();
    for (const auto& row : process.vms) {
        json served = json::array();
        for (const auto& model : row.status.servedModels)
            served.push_back({ { "model", model.model }, { "digest", model.digest } });
        vms.push_back({ { "vm", row.status.vm }, { "age_ms", row.reportAge.count() }, { "generation", row.status.generation }, { "is_leaving", row.status.isLeaving },
            { "is_cold", row.status.isCold }, { "in_progress", row.status.requestsInProgress }, { "limit", row.status.admissionLimit }, { "served", served } });
    }
    return { { "address", process.address }, { "vm", process.vm }, { "role", process.role }, { "data_centre", process.dataCentre }, { "version", process.version },
        { "is_leaving", process.isLeaving }, { "in_progress", process.inProgress }, { "configuration_generation", process.configurationGeneration },
        { "configuration_digest", process.configurationDigest }, { "live_list_generation", process.liveListGeneration }, { "vms", vms } };
}

} // namespace bilberry
