#include "admin/adminclient.h"
#include "admin/commandline.h"
#include "admin/configdocumentplanner.h"
#include "admin/exitcode.h"
#include "domain/allocator.h"
#include "domain/leafresult.h"
#include "entry/internal/entryprocess.h"
#include "observability/buildrevision.h"
#include "observability/log.h"
#include "relay/relayprocess.h"
#include "settings/settingsloader.h"
#include "settings/stopsignal.h"

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>

#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace oriolerill;
namespace leaf = boost::leaf;
using admin::ExitCode;
using observability::logEvent;
using observability::Severity;
static_assert(static_cast<int>(settings::LogLevel::Error) == static_cast<int>(Severity::Error));

ExitCode serve(const settings::EntrySettings &settings)
{
    const settings::StopSignal signal;
    observability::startLogging(static_cast<Severity>(settings.logLevel), settings.id.value());
    entry::EntryProcess process(settings);
    return leaf::try_handle_all(
            [&]() -> leaf::result<ExitCode> {
                BOOST_LEAF_CHECK(domain::toLeaf(process.start()));
                logEvent(Severity::Info, "started",
                        {{"version", ORIOLERILL_VERSION},
                                {"revision", observability::buildRevision()}});
                const int number = signal.wait();
                logEvent(Severity::Info, "stopping", {{"signal", number}});
                process.stop();
                logEvent(Severity::Info, "stopped");
                return ExitCode::Ok;
            },
            [](const domain::Error &error) {
                logEvent(Severity::Error, "start_failed",
                        {{"error", error.message}, {"remedy", error.remedy}});
                return error.kind == domain::ErrorKind::Unavailable ? ExitCode::Unavailable
                                                                    : ExitCode::Failed;
            },
            [] { return ExitCode::Failed; });
}

ExitCode serveRelay(const settings::RelaySettings &settings, const std::string &file)
{
    std::signal(SIGPIPE, SIG_IGN);
    observability::startLogging(static_cast<Severity>(settings.logLevel), settings.id.value());
    relay::RelayProcess process(settings, file);
    const auto result = process.run();
    if (result)
        return ExitCode::Ok;
    logEvent(Severity::Error, "start_failed",
            {{"error", result.error().message}, {"remedy", result.error().remedy}});
    return ExitCode::Unavailable;
}

std::string environmentVariable(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? "" : value;
}

} // namespace

int main(int argc, char **argv)
{
    domain::returnLargeBuffersToSystem();
    constexpr auto CommandTimeout = std::chrono::seconds(10);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const admin::ConfigDocumentPlanner planner;
    admin::AdminClient client(CommandTimeout);
    const admin::CommandLine commandLine(
            {std::cout, std::cerr, client, planner, serve, environmentVariable, serveRelay});
    return static_cast<int>(commandLine.run(arguments));
}
