#pragma once

#include "settings/agentsettings.h"
#include "settings/entrysettings.h"
#include "settings/fleetsettings.h"
#include "settings/keydescription.h"
#include "settings/settingsproblem.h"

#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::settings {

/// Parsed settings; only valid when there are no problems.
template<class Settings>
struct LoadedSettings
{
    Settings settings;
    std::vector<SettingsProblem> problems;
};

/// Reads a file; reports all problems, in the order of their lines, then those without a line.
LoadedSettings<EntrySettings> loadEntrySettings(const std::string &file);
LoadedSettings<AgentSettings> loadAgentSettings(const std::string &file);
LoadedSettings<RelaySettings> loadRelaySettings(const std::string &file);
LoadedSettings<RelayAgentSettings> loadRelayAgentSettings(const std::string &file);

/// The same for a text in memory; the file name is used in problems.
LoadedSettings<EntrySettings> parseEntrySettings(const std::string &file, std::string_view text);
LoadedSettings<AgentSettings> parseAgentSettings(const std::string &file, std::string_view text);
LoadedSettings<RelaySettings> parseRelaySettings(const std::string &file, std::string_view text);
LoadedSettings<RelayAgentSettings> parseRelayAgentSettings(
        const std::string &file, std::string_view text);

std::vector<KeyDescription> entrySettingsKeys();
std::vector<KeyDescription> agentSettingsKeys();
std::vector<KeyDescription> relaySettingsKeys();
std::vector<KeyDescription> relayAgentSettingsKeys();

/// The keys as text for the command line.
std::string settingsHelp(const std::vector<KeyDescription> &keys);
/// The keys as a Markdown table for the operators' guide.
std::string settingsTable(const std::vector<KeyDescription> &keys);

} // namespace oriolerill::settings
