#include "admin/commandline.h"

#include "settings/settingsloader.h"

#include <boost/program_options.hpp>

#include <utility>

namespace oriolerill::admin {

namespace options = boost::program_options;

namespace {

constexpr std::string_view Usage = R"(usage: oriolerill COMMAND [OPTIONS]

commands:
  serve --settings FILE        run an entry until SIGTERM or SIGINT
  check [--settings FILE] [--agent-settings FILE]
                               check settings files, offline

options:
  --help                       this text
  --help-settings              every key of the settings file of `oriolerill serve`
  --version                    the version

exit codes: 0 ok, 1 failed, 2 wrong usage or bad input, 3 conflict, 4 unavailable
)";

using Strings = std::vector<std::string>;

/// Values of the options; throws options::error for wrong usage.
options::variables_map parse(const Strings &arguments, const options::options_description &known)
{
    options::variables_map values;
    options::store(options::command_line_parser(arguments)
                           .options(known)
                           .positional(options::positional_options_description())
                           .run(),
            values);
    options::notify(values);
    return values;
}

template<class Loaded>
bool report(const Loaded &loaded, std::ostream &errors)
{
    for (const settings::SettingsProblem &problem : loaded.problems)
        errors << problem << '\n';
    return loaded.problems.empty();
}

} // namespace

CommandLine::CommandLine(std::ostream &output, std::ostream &errors, Serve serve)
    : m_output(output)
    , m_errors(errors)
    , m_serve(std::move(serve))
{}

ExitCode CommandLine::run(const Strings &arguments) const
{
    if (arguments.empty())
        return refuse("no command is given");
    const std::string &command = arguments.front();
    const Strings rest(arguments.begin() + 1, arguments.end());
    if (command == "--help") {
        m_output << Usage;
        return ExitCode::Ok;
    }
    if (command == "--help-settings") {
        m_output << settings::settingsHelp(settings::entrySettingsKeys());
        return ExitCode::Ok;
    }
    if (command == "--version") {
        m_output << "oriolerill " << ORIOLERILL_VERSION << '\n';
        return ExitCode::Ok;
    }
    try {
        if (command == "serve")
            return runServe(rest);
        if (command == "check")
            return runCheck(rest);
    } catch (const options::error &error) {
        return refuse(error.what());
    }
    return refuse("the command \"" + command + "\" is unknown");
}

ExitCode CommandLine::runServe(const Strings &arguments) const
{
    options::options_description known;
    known.add_options()("settings", options::value<std::string>()->required());
    const options::variables_map values = parse(arguments, known);
    const auto loaded = settings::loadEntrySettings(values["settings"].as<std::string>());
    if (!report(loaded, m_errors))
        return ExitCode::BadInput;
    return m_serve(loaded.settings);
}

ExitCode CommandLine::runCheck(const Strings &arguments) const
{
    const auto files = options::value<Strings>()->default_value(Strings(), "");
    const auto agentFiles = options::value<Strings>()->default_value(Strings(), "");
    options::options_description known;
    known.add_options()("settings", files)("agent-settings", agentFiles);
    const options::variables_map values = parse(arguments, known);
    const Strings entries = values["settings"].as<Strings>();
    const Strings agents = values["agent-settings"].as<Strings>();
    if (entries.empty() && agents.empty())
        return refuse("no file is given to check");
    bool isGood = true;
    for (const std::string &file : entries)
        isGood = checkEntrySettings(file) && isGood;
    for (const std::string &file : agents)
        isGood = checkAgentSettings(file) && isGood;
    return isGood ? ExitCode::Ok : ExitCode::BadInput;
}

bool CommandLine::checkEntrySettings(const std::string &file) const
{
    const bool isGood = report(settings::loadEntrySettings(file), m_errors);
    if (isGood)
        m_output << file << ": ok\n";
    return isGood;
}

bool CommandLine::checkAgentSettings(const std::string &file) const
{
    const bool isGood = report(settings::loadAgentSettings(file), m_errors);
    if (isGood)
        m_output << file << ": ok\n";
    return isGood;
}

ExitCode CommandLine::refuse(const std::string &message) const
{
    m_errors << "oriolerill: " << message << "; see oriolerill --help\n";
    return ExitCode::BadInput;
}

} // namespace oriolerill::admin
