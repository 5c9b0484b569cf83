#include "Address.h"
#include "CtlCommands.h"
#include "CtlNodes.h"
#include "ProcessClient.h"
#include "RouteReport.h"

#include <cstdio>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_string(account, "", "route: name of the client account; empty for an anonymous request");
DEFINE_uint32(prompt_tokens, 0, "route: number of prompt tokens");
DEFINE_string(parts, "", "route: comma-separated hexadecimal IDs of the shared parts of the prompt");
DECLARE_string(model);

namespace bilberry {

const char routeUsage[] = R"(bilberryctl route [--json] --metrics=IP:port [--account=NAME] [--model=NAME] [--prompt_tokens=N] [--parts=ID,...] HOST PATH
  Asks an entry on the users' platform where it would send such a request now, and why. Nothing is sent to an endpoint.
  exit codes: 0 it would be sent or wait, 1 it would be refused, 2 wrong usage, 3 the entry could not be reached
)";

int runRoute(const CtlArguments& arguments)
{
    if (arguments.size() != 2)
        return reportCommandError("route", "takes HOST and PATH", exitUsage);
    if (!parseAddress(FLAGS_metrics).ok())
        return reportCommandError("route", "--metrics: \"" + FLAGS_metrics + "\" is not the IP:port of one entry", exitUsage);
    auto parts = parsePromptParts(FLAGS_parts);
    if (!parts.ok())
        return reportCommandError("route", parts.status(), exitUsage);
    RouteQuestion question { arguments[0], arguments[1], FLAGS_account, FLAGS_model, FLAGS_prompt_tokens, std::move(*parts) };
    auto checked = parseRouteQuestion(toTarget(question));
    if (!checked.ok())
        return reportCommandError("route", checked.status(), exitUsage);
    auto answer = fetchPage(FLAGS_metrics, toTarget(question));
    if (!answer.ok())
        return reportCommandError("route", answer.status(), absl::IsNotFound(answer.status()) || absl::IsInvalidArgument(answer.status()) ? exitUsage : exitUnreachable);
    auto report = parseRouteReport(*answer);
    if (!report.ok())
        return reportCommandError("route", report.status(), exitUnreachable);
    if (FLAGS_json)
        std::printf("%s\n", toJson(*report).dump(1).c_str());
    else
        std::fputs(formatRouteReport(*report).c_str(), stdout);
    return report->outcome == "refused" ? exitProblemFound : exitOk;
}

} // namespace bilberry
