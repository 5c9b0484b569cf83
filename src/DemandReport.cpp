#include "DemandReport.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace bilberry {

using nlohmann::json;

// First element of each encoded datagram; other datagrams between entries begin with other numbers.
static constexpr uint32_t reportLayoutVersion = 103;
static constexpr size_t reportElements = 5;
// Number of elements that encode one AccountUse, one DataCentreUse and one WorkTimeReport.
static constexpr size_t accountUseElements = 3;
static constexpr size_t dataCentreUseElements = 3;
static constexpr size_t workTimeElements = 3;

uint32_t accountHash(const std::string& service, const std::string& account)
{
    auto serviceHash = XXH64(service.data(), service.size(), 0);
    return static_cast<uint32_t>(XXH64(account.data(), account.size(), serviceHash));
}

bool isEmpty(const DemandReport& report)
{
    return report.accounts.empty() && report.otherDataCentres.empty() && report.workTimes.empty();
}

static uint32_t encodeAge(Milliseconds age)
{
    return static_cast<uint32_t>(std::clamp<int64_t>(age.count(), 0, std::numeric_limits<uint32_t>::max()));
}

static json encodeAccounts(const std::vector<AccountUse>& accounts)
{
    json list = json::array();
    for (const auto& use : accounts) {
        list.push_back(use.account);
        list.push_back(use.engineTime);
        list.push_back(use.askedTime);
    }
    return list;
}

std::string encodeDemandReport(const DemandReport& report)
{
    json others = json::array();
    for (const auto& use : report.otherDataCentres)
        others.push_back(json::array({ use.dataCentre, encodeAge(use.age), encodeAccounts(use.accounts) }));
    json workTimes = json::array();
    for (const auto& row : report.workTimes) {
        workTimes.push_back(row.endpoint);
        workTimes.push_back(row.percent);
        workTimes.push_back(encodeAge(row.age));
    }
    auto bytes = json::to_msgpack(json::array({ reportLayoutVersion, report.dataCentre, encodeAccounts(report.accounts), others, workTimes }));
    return std::string(bytes.begin(), bytes.end());
}

static bool isUint32(const json& entry)
{
    return entry.is_number_unsigned() && entry.get<uint64_t>() <= std::numeric_limits<uint32_t>::max();
}

static bool areRows(const json& list, size_t elementsPerRow)
{
    return list.is_array() && list.size() % elementsPerRow == 0 && std::all_of(list.begin(), list.end(), isUint32);
}

static bool isDataCentreUse(const json& row)
{
    return row.is_array() && row.size() == dataCentreUseElements && row[0].is_string() && isUint32(row[1]) && areRows(row[2], accountUseElements);
}

static std::vector<AccountUse> readAccounts(const json& list)
{
    std::vector<AccountUse> accounts;
    for (size_t i = 0; i < list.size(); i += accountUseElements)
        accounts.push_back({ list[i].get<uint32_t>(), list[i + 1].get<uint32_t>(), list[i + 2].get<uint32_t>() });
    return accounts;
}

absl::StatusOr<DemandReport> decodeDemandReport(const std::string& bytes)
{
    auto root = json::from_msgpack(bytes, true, false);
    bool isOfLayout = root.is_array() && root.size() == reportElements && isUint32(root[0]) && root[0].get<uint32_t>() == reportLayoutVersion;
    bool isTyped = isOfLayout && root[1].is_string() && areRows(root[2], accountUseElements) && root[3].is_array()
        && std::all_of(root[3].begin(), root[3].end(), isDataCentreUse) && areRows(root[4], workTimeElements);
    if (!isTyped)
        return absl::InvalidArgumentError("not a report on demand");
    DemandReport report;
    report.dataCentre = root[1].get<std::string>();
    report.accounts = readAccounts(root[2]);
    for (const auto& row : root[3])
        report.otherDataCentres.push_back({ row[0].get<std::string>(), Milliseconds(row[1].get<uint32_t>()), readAccounts(row[2]) });
    for (size_t i = 0; i < root[4].size(); i += workTimeElements)
        report.workTimes.push_back({ root[4][i].get<uint32_t>(), root[4][i + 1].get<uint32_t>(), Milliseconds(root[4][i + 2].get<uint32_t>()) });
    return report;
}

} // namespace bilberry
