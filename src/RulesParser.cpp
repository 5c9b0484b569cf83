#include "RulesParser.h"

#include "Calendar.h"
#include "DocumentFields.h"
#include "DocumentReader.h"
#include "Inventory.h"
#include "Rules.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <set>

namespace bilberry {

static void parsePlacements(DocumentReader& rules, const Inventory& inventory, Rules& tables)
{
    for (auto& reader : rules.readArray("placements", false)) {
        PlacementRule row;
        readReference(reader, "model", inventory.models, row.model);
        reader.read("replicas", row.replicas, 1, 100'000, true);
        reader.read("survive_data_centre_loss", row.shouldSurviveDataCentreLoss);
        for (const auto& earlier : tables.placements) {
            if (earlier.model == row.model && row.model != noRow)
                reader.addFault("model", "has a placement already");
        }
        reader.reportUnknownFields();
        tables.placements.push_back(row);
    }
}

static void parseBursts(DocumentReader& rules, const Inventory& inventory, Rules& tables)
{
    std::set<std::string> seen;
    for (auto& reader : rules.readArray("bursts", false)) {
        BurstRule row;
        readName(reader, seen, row.name);
        readReference(reader, "model", inventory.models, row.model);
        reader.read("calendar", row.calendar, true);
        if (!row.calendar.empty() && !isSupportedCalendar(row.calendar))
            reader.addFault("calendar", "must be islamic-umalqura, islamic-civil, chinese, hebrew, persian or gregorian");
        reader.read("month", row.month, 1, 13, true);
        reader.read("day", row.day, 1, 31, true);
        if (reader.hasField("year")) {
            int year = 0;
            reader.read("year", year, 1, 9999, false);
            row.year = year;
        }
        reader.read("duration_days", row.durationDays, 1, 60, false);
        reader.read("lead_days", row.leadDays, 0, 60, false);
        reader.read("replicas", row.replicas, 1, 100'000, true);
        reader.reportUnknownFields();
        tables.bursts.push_back(row);
    }
}

// Rejects rules that can match no request, because such a rule would let calls run twice without anyone noticing.
static void checkUnrepeatable(DocumentReader& reader, const Inventory& inventory, const UnrepeatableRule& row)
{
    bool isUpper = std::all_of(row.method.begin(), row.method.end(), [](char character) { return absl::ascii_isupper(static_cast<unsigned char>(character)); });
    if (!isUpper)
        reader.addFault("method", "must be an HTTP method in capitals");
    if (row.service == noRow || row.pathPrefix.empty())
        return;
    const Service& service = inventory.services[row.service];
    std::string_view base = service.kind == ServiceKind::Model ? std::string_view("/v1") : std::string_view(service.pathPrefix);
    bool isWider = base.substr(0, row.pathPrefix.size()) == row.pathPrefix;
    if (!isWider && !isPathWithin(row.pathPrefix, base))
        reader.addFault("path_prefix", "matches no request of the service, whose paths start with \"" + std::string(base) + "\"");
}

static void parseUnrepeatable(DocumentReader& rules, const Inventory& inventory, Rules& tables)
{
    for (auto& reader : rules.readArray("unrepeatable", false)) {
        UnrepeatableRule row;
        readReference(reader, "service", inventory.services, row.service);
        reader.read("method", row.method, true);
        reader.read("path_prefix", row.pathPrefix, true);
        checkUnrepeatable(reader, inventory, row);
        reader.reportUnknownFields();
        tables.unrepeatableRules.push_back(row);
    }
}

static void readMilliseconds(DocumentReader& reader, const char* field, Milliseconds& target)
{
    // No time in the rules may exceed one hour.
    uint32_t count = static_cast<uint32_t>(target.count());
    reader.read(field, count, 1, 3'600'000, false);
    target = Milliseconds(count);
}

static void readPriority(DocumentReader& reader, Priority& target)
{
    std::string name = "normal";
    reader.read("priority", name, false);
    if (name == "interactive")
        target = Priority::Interactive;
    else if (name == "batch")
        target = Priority::Batch;
    else if (name != "normal")
        reader.addFault("priority", "must be \"interactive\", \"normal\" or \"batch\"");
}

static void parseServiceRules(DocumentReader& rules, const Inventory& inventory, Rules& tables)
{
    for (RowIndex service = 0; service < inventory.services.size(); ++service) {
        tables.services.emplace_back();
        tables.services.back().service = service;
    }
    std::set<RowIndex> seen;
    for (auto& reader : rules.readArray("services", false)) {
        ServiceLevelRule row;
        readReference(reader, "service", inventory.services, row.service);
        if (row.service != noRow && !seen.insert(row.service).second)
            reader.addFault("service", "has rules already");
        readPriority(reader, row.priority);
        readMilliseconds(reader, "default_timeout_ms", row.defaultTimeout);
        readMilliseconds(reader, "max_timeout_ms", row.maxTimeout);
        readMilliseconds(reader, "latency_objective_ms", row.latencyObjective);
        reader.read("retry_share", row.retryRatio, 0, 1);
        reader.read("objective", row.serviceLevelObjective, 0.5, 0.999999);
        if (row.defaultTimeout > row.maxTimeout)
            reader.addFault("default_timeout_ms", "must not be above max_timeout_ms");
        reader.reportUnknownFields();
        if (row.service != noRow)
            tables.services[row.service] = row;
    }
}

void parseRules(DocumentReader& reader, const Inventory& inventory, Rules& tables)
{
    parsePlacements(reader, inventory, tables);
    parseBursts(reader, inventory, tables);
    parseUnrepeatable(reader, inventory, tables);
    parseServiceRules(reader, inventory, tables);
    tables.outOfServiceDataCentres = readRowReferences(reader, "data_centres_out", inventory.dataCentres);
    tables.leavingVms = readRowReferences(reader, "vms_leaving", inventory.vms);
    reader.reportUnknownFields();
}

} // namespace bilberry
