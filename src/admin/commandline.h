#pragma once

#include "admin/exitcode.h"
#include "settings/entrysettings.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace oriolerill::admin {

/// The command line of `oriolerill`: chooses the command and carries it out.
class CommandLine
{
public:
    using Serve = std::function<ExitCode(const settings::EntrySettings &)>;

    CommandLine(std::ostream &output, std::ostream &errors, Serve serve);

    /// Arguments without the program's name.
    ExitCode run(const std::vector<std::string> &arguments) const;

private:
    ExitCode runServe(const std::vector<std::string> &arguments) const;
    ExitCode runCheck(const std::vector<std::string> &arguments) const;
    bool checkEntrySettings(const std::string &file) const;
    bool checkAgentSettings(const std::string &file) const;
    ExitCode refuse(const std::string &message) const;

    std::ostream &m_output;
    std::ostream &m_errors;
    Serve m_serve;
};

} // namespace oriolerill::admin
