#pragma once

#include "admin/exitcode.h"
#include "admin/iadminclient.h"
#include "admin/idocumentplanner.h"
#include "settings/entrysettings.h"
#include "settings/fleetsettings.h"
#include "settings/settingsproblem.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace oriolerill::admin {

/// Dependencies of the command line.
struct CommandContext
{
    std::ostream &output;
    std::ostream &errors;
    IAdminClient &client;
    const IDocumentPlanner &planner;
    /// Runs the entry until it is stopped.
    std::function<ExitCode(const settings::EntrySettings &)> serve;
    /// Value of an environment variable; empty when it is not set.
    std::function<std::string(const char *)> environment;
    /// Runs an entry of a fleet until it is stopped; the file is reloaded when it changes.
    std::function<ExitCode(const settings::RelaySettings &, const std::string &file)> relay;
};

/// The command line of `oriolerill`: parses the arguments and runs the command.
class CommandLine
{
public:
    explicit CommandLine(CommandContext context);

    /// Arguments without the program's name.
    ExitCode run(const std::vector<std::string> &arguments) const;

private:
    ExitCode runServe(const std::vector<std::string> &arguments) const;
    ExitCode runRelay(const std::vector<std::string> &arguments) const;
    ExitCode runCheck(const std::vector<std::string> &arguments) const;
    bool checkSettings(
            const std::string &file, const std::vector<settings::SettingsProblem> &problems) const;
    bool checkDocument(const std::string &file) const;
    ExitCode refuse(const std::string &message) const;

    CommandContext m_context;
};

} // namespace oriolerill::admin
