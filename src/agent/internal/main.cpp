#include "agent/internal/agentprocess.h"
#include "domain/allocator.h"
#include "domain/leafresult.h"
#include "observability/buildrevision.h"
#include "observability/log.h"
#include "relayagent/relayagentprocess.h"
#include "settings/settingsloader.h"
#include "settings/stopsignal.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace oriolerill;
namespace leaf = boost::leaf;
using observability::logEvent;
using observability::Severity;
static_assert(static_cast<int>(settings::LogLevel::Error) == static_cast<int>(Severity::Error));
namespace options = boost::program_options;

// The exit codes of `oriolerill` that this program uses.
constexpr int Ok = 0;
constexpr int Failed = 1;
constexpr int BadInput = 2;
constexpr int Unavailable = 4;

constexpr std::string_view Usage = R"(usage: oriolerill-agent --settings FILE

options:
  --settings FILE    run the agent until SIGTERM or SIGINT
  --relay            run beside an engine of a fleet whose entries run `oriolerill relay`
  --check            only check the settings
  --help             this text
  --help-settings    every key of the settings file
  --version          the version

exit codes: 0 ok, 1 failed, 2 wrong usage or bad input, 4 unavailable
)";

int runAgent(const settings::AgentSettings &settings)
{
    const settings::StopSignal signal;
    observability::startLogging(static_cast<Severity>(settings.logLevel), settings.id.value());
    agent::AgentProcess process(settings);
    return leaf::try_handle_all(
            [&]() -> leaf::result<int> {
                BOOST_LEAF_CHECK(domain::toLeaf(process.start()));
                logEvent(Severity::Info, "started",
                        {{"version", ORIOLERILL_VERSION},
                                {"revision", observability::buildRevision()}});
                const int number = signal.wait();
                logEvent(Severity::Info, "stopping", {{"signal", number}});
                process.stop();
                logEvent(Severity::Info, "stopped");
                return Ok;
            },
            [](const domain::Error &error) {
                logEvent(Severity::Error, "start_failed",
                        {{"error", error.message}, {"remedy", error.remedy}});
                return error.kind == domain::ErrorKind::Unavailable ? Unavailable : Failed;
            },
            [] { return Failed; });
}

int runRelayAgent(const settings::RelayAgentSettings &settings, const std::string &file)
{
    std::signal(SIGPIPE, SIG_IGN);
    observability::startLogging(static_cast<Severity>(settings.logLevel), settings.id.value());
    relayagent::RelayAgentProcess process(settings, file);
    const auto result = process.run();
    if (result)
        return Ok;
    logEvent(Severity::Error, "start_failed",
            {{"error", result.error().message}, {"remedy", result.error().remedy}});
    return Unavailable;
}

bool report(const std::vector<settings::SettingsProblem> &problems)
{
    for (const settings::SettingsProblem &problem : problems)
        std::cerr << problem << '\n';
    return problems.empty();
}

int run(const options::variables_map &values)
{
    if (values.count("help") > 0) {
        std::cout << Usage;
        return Ok;
    }
    if (values.count("help-settings") > 0) {
        std::cout << settings::settingsHelp(settings::agentSettingsKeys())
                  << "\nkeys with --relay:\n\n"
                  << settings::settingsHelp(settings::relayAgentSettingsKeys());
        return Ok;
    }
    if (values.count("version") > 0) {
        std::cout << "oriolerill-agent " << ORIOLERILL_VERSION << '\n';
        return Ok;
    }
    if (values.count("settings") == 0) {
        std::cerr << "oriolerill-agent: no settings file is given; see oriolerill-agent --help\n";
        return BadInput;
    }
    const std::string file = values["settings"].as<std::string>();
    const bool isCheck = values.count("check") > 0;
    if (values.count("relay") > 0) {
        const auto loaded = settings::loadRelayAgentSettings(file);
        if (!report(loaded.problems))
            return BadInput;
        return isCheck ? Ok : runRelayAgent(loaded.settings, file);
    }
    const auto loaded = settings::loadAgentSettings(file);
    if (!report(loaded.problems))
        return BadInput;
    return isCheck ? Ok : runAgent(loaded.settings);
}

} // namespace

int main(int argc, char **argv)
{
    oriolerill::domain::returnLargeBuffersToSystem();
    options::options_description description;
    description.add_options()("settings", options::value<std::string>())("relay", "")("check", "")(
            "help", "")("help-settings", "")("version", "");
    options::variables_map values;
    try {
        options::store(options::command_line_parser(argc, argv)
                               .options(description)
                               .positional(options::positional_options_description())
                               .run(),
                values);
    } catch (const options::error &error) {
        std::cerr << "oriolerill-agent: " << error.what() << "; see oriolerill-agent --help\n";
        return BadInput;
    }
    return run(values);
}
