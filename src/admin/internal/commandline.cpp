#include "admin/commandline.h"

#include "admin/internal/remotecommands.h"
#include "admin/internal/textfile.h"
#include "settings/settingsloader.h"

#include <boost/algorithm/string/trim.hpp>
#include <boost/program_options.hpp>

#include <sstream>
#include <utility>

namespace oriolerill::admin {

namespace options = boost::program_options;
using internal::RemoteCommands;
using internal::RemoteOptions;

namespace {

constexpr std::string_view Usage = R"(usage: oriolerill COMMAND [OPTIONS]

commands:
  serve --settings FILE        run an entry until SIGTERM or SIGINT
  relay --settings FILE        run an entry of a fleet whose endpoints the platform lists
  check [--settings FILE]... [--agent-settings FILE]... [--relay-settings FILE]...
        [--relay-agent-settings FILE]... [DOCUMENT]...
                               check settings and documents, offline
  apply DOCUMENT [--dry-run]   apply a document of configuration items
  status [--version VERSION]   rollouts, data centres, members; how far a version is in force
  report                       service-level burn, added up over the entries given

options of apply, status and report:
  --admin ADDRESS              administration address of an entry; may be repeated
                               (or ORIOLERILL_ADMIN, separated by commas)
  --token-file FILE            file with the operator's token (or ORIOLERILL_TOKEN)
  --json                       output as JSON

options:
  --help                       this text
  --help-settings              every key of the settings files of `serve` and `relay`
  --settings-table             the keys of both programs as Markdown tables
  --version                    the version

exit codes: 0 ok, 1 failed, 2 wrong usage or bad input, 3 conflict, 4 unavailable
)";

using Strings = std::vector<std::string>;

/// Wrong usage, found after the options have been parsed.
class UsageError : public options::error
{
public:
    using options::error::error;
};

options::typed_value<Strings> *repeated()
{
    return options::value<Strings>()->default_value(Strings(), "")->composing();
}

/// Values of the options; throws options::error for wrong usage.
options::variables_map parse(
        const Strings &arguments, options::options_description known, int documents)
{
    known.add_options()("document", repeated());
    options::positional_options_description positional;
    if (documents != 0)
        positional.add("document", documents);
    options::variables_map values;
    options::store(
            options::command_line_parser(arguments).options(known).positional(positional).run(),
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

options::options_description remoteOptions()
{
    options::options_description known;
    known.add_options()("admin", repeated())("token-file", options::value<std::string>())(
            "json", options::bool_switch());
    return known;
}

std::vector<domain::SocketAddress> addressesOf(
        const options::variables_map &values, const std::string &fallback)
{
    Strings texts = values["admin"].as<Strings>();
    if (texts.empty()) {
        std::istringstream stream(fallback);
        for (std::string part; std::getline(stream, part, ',');)
            texts.push_back(boost::algorithm::trim_copy(part));
    }
    std::vector<domain::SocketAddress> addresses;
    for (const std::string &text : texts) {
        const auto address = domain::SocketAddress::parse(text);
        if (!address)
            throw UsageError("\"" + text + "\" is no address; give it as 127.0.0.1:8003");
        addresses.push_back(*address);
    }
    if (addresses.empty())
        throw UsageError("no entry is given; use --admin ADDRESS or set ORIOLERILL_ADMIN");
    return addresses;
}

std::string tokenOf(const options::variables_map &values, const std::string &fallback)
{
    std::string token = fallback;
    if (values.count("token-file") > 0) {
        const auto text = internal::readTextFile(values["token-file"].as<std::string>());
        if (!text)
            throw UsageError(text.error().message);
        token = *text;
    }
    boost::algorithm::trim(token);
    if (token.empty())
        throw UsageError("no token is given; use --token-file FILE or set ORIOLERILL_TOKEN");
    return token;
}

RemoteOptions remoteOptionsOf(const options::variables_map &values, const CommandContext &context)
{
    RemoteOptions remote;
    remote.entries = addressesOf(values, context.environment("ORIOLERILL_ADMIN"));
    remote.token = tokenOf(values, context.environment("ORIOLERILL_TOKEN"));
    remote.isJson = values["json"].as<bool>();
    return remote;
}

ExitCode runApply(const Strings &arguments, const CommandContext &context)
{
    options::options_description known = remoteOptions();
    known.add_options()("dry-run", options::bool_switch());
    const options::variables_map values = parse(arguments, known, 1);
    const Strings documents = values["document"].as<Strings>();
    if (documents.size() != 1)
        throw UsageError("apply needs one document");
    const RemoteOptions remote = remoteOptionsOf(values, context);
    const auto text = internal::readTextFile(documents.front());
    if (!text)
        throw UsageError(text.error().message);
    return RemoteCommands(context, remote).apply(*text, values["dry-run"].as<bool>());
}

ExitCode runStatus(const Strings &arguments, const CommandContext &context)
{
    options::options_description known = remoteOptions();
    known.add_options()("version", options::value<std::string>()->default_value(""));
    const options::variables_map values = parse(arguments, known, 0);
    const RemoteCommands commands(context, remoteOptionsOf(values, context));
    return commands.status(values["version"].as<std::string>());
}

ExitCode runReport(const Strings &arguments, const CommandContext &context)
{
    const options::variables_map values = parse(arguments, remoteOptions(), 0);
    return RemoteCommands(context, remoteOptionsOf(values, context)).report();
}

} // namespace

CommandLine::CommandLine(CommandContext context)
    : m_context(std::move(context))
{}

ExitCode CommandLine::run(const Strings &arguments) const
{
    if (arguments.empty())
        return refuse("no command is given");
    const std::string &command = arguments.front();
    const Strings rest(arguments.begin() + 1, arguments.end());
    if (command == "--help") {
        m_context.output << Usage;
        return ExitCode::Ok;
    }
    if (command == "--help-settings") {
        m_context.output << settings::settingsHelp(settings::entrySettingsKeys())
                         << "\nkeys of the settings file of `oriolerill relay`:\n\n"
                         << settings::settingsHelp(settings::relaySettingsKeys());
        return ExitCode::Ok;
    }
    if (command == "--settings-table") {
        m_context.output << settings::settingsTable(settings::entrySettingsKeys()) << '\n'
                         << settings::settingsTable(settings::agentSettingsKeys()) << '\n'
                         << settings::settingsTable(settings::relaySettingsKeys()) << '\n'
                         << settings::settingsTable(settings::relayAgentSettingsKeys());
        return ExitCode::Ok;
    }
    if (command == "--version") {
        m_context.output << "oriolerill " << ORIOLERILL_VERSION << '\n';
        return ExitCode::Ok;
    }
    try {
        if (command == "serve")
            return runServe(rest);
        if (command == "relay")
            return runRelay(rest);
        if (command == "check")
            return runCheck(rest);
        if (command == "apply")
            return runApply(rest, m_context);
        if (command == "status")
            return runStatus(rest, m_context);
        if (command == "report")
            return runReport(rest, m_context);
    } catch (const options::error &error) {
        return refuse(error.what());
    }
    return refuse("the command \"" + command + "\" is unknown");
}

ExitCode CommandLine::runServe(const Strings &arguments) const
{
    options::options_description known;
    known.add_options()("settings", options::value<std::string>()->required());
    const options::variables_map values = parse(arguments, known, 0);
    const auto loaded = settings::loadEntrySettings(values["settings"].as<std::string>());
    if (!report(loaded, m_context.errors))
        return ExitCode::BadInput;
    return m_context.serve(loaded.settings);
}

ExitCode CommandLine::runRelay(const Strings &arguments) const
{
    options::options_description known;
    known.add_options()("settings", options::value<std::string>()->required());
    const options::variables_map values = parse(arguments, known, 0);
    const std::string file = values["settings"].as<std::string>();
    const auto loaded = settings::loadRelaySettings(file);
    if (!report(loaded, m_context.errors))
        return ExitCode::BadInput;
    return m_context.relay(loaded.settings, file);
}

ExitCode CommandLine::runCheck(const Strings &arguments) const
{
    options::options_description known;
    known.add_options()("settings", repeated())("agent-settings", repeated())(
            "relay-settings", repeated())("relay-agent-settings", repeated());
    const options::variables_map values = parse(arguments, known, -1);
    const Strings entries = values["settings"].as<Strings>();
    const Strings agents = values["agent-settings"].as<Strings>();
    const Strings relays = values["relay-settings"].as<Strings>();
    const Strings relayAgents = values["relay-agent-settings"].as<Strings>();
    const Strings documents = values["document"].as<Strings>();
    if (entries.empty() && agents.empty() && relays.empty() && relayAgents.empty()
            && documents.empty())
        return refuse("no file is given to check");
    bool isGood = true;
    for (const std::string &file : entries)
        isGood = checkSettings(file, settings::loadEntrySettings(file).problems) && isGood;
    for (const std::string &file : agents)
        isGood = checkSettings(file, settings::loadAgentSettings(file).problems) && isGood;
    for (const std::string &file : relays)
        isGood = checkSettings(file, settings::loadRelaySettings(file).problems) && isGood;
    for (const std::string &file : relayAgents)
        isGood = checkSettings(file, settings::loadRelayAgentSettings(file).problems) && isGood;
    for (const std::string &file : documents)
        isGood = checkDocument(file) && isGood;
    return isGood ? ExitCode::Ok : ExitCode::BadInput;
}

bool CommandLine::checkSettings(
        const std::string &file, const std::vector<settings::SettingsProblem> &problems) const
{
    for (const settings::SettingsProblem &problem : problems)
        m_context.errors << problem << '\n';
    if (problems.empty())
        m_context.output << file << ": ok\n";
    return problems.empty();
}

bool CommandLine::checkDocument(const std::string &file) const
{
    const auto text = internal::readTextFile(file);
    if (!text) {
        m_context.errors << text.error().message << "; " << text.error().remedy << '\n';
        return false;
    }
    const std::vector<ItemProblem> problems = m_context.planner.check(*text);
    for (const ItemProblem &problem : problems) {
        m_context.errors << file << ": " << problem.path << ": " << problem.message << "; "
                         << problem.remedy << '\n';
    }
    if (problems.empty())
        m_context.output << file << ": ok\n";
    return problems.empty();
}

ExitCode CommandLine::refuse(const std::string &message) const
{
    m_context.errors << "oriolerill: " << message << "; see oriolerill --help\n";
    return ExitCode::BadInput;
}

} // namespace oriolerill::admin
