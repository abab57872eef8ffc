#include "settings/settingsloader.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace oriolerill::settings {

namespace {

/// The page, found from the build folder or the root of the repository.
std::string readGuide()
{
    std::filesystem::path folder = std::filesystem::current_path();
    while (!std::filesystem::exists(folder / "docs/operators.md") && folder.has_relative_path())
        folder = folder.parent_path();
    std::ostringstream text;
    text << std::ifstream(folder / "docs/operators.md").rdbuf();
    return text.str();
}

} // namespace

// Guards against a guide that lacks a key or names an old default. `oriolerill --settings-table`
// prints the tables.
TEST(SettingsDocument, operatorsGuide_allCommands_currentTables)
{
    const std::string guide = readGuide();
    EXPECT_NE(guide.find(settingsTable(entrySettingsKeys())), std::string::npos);
    EXPECT_NE(guide.find(settingsTable(agentSettingsKeys())), std::string::npos);
    EXPECT_NE(guide.find(settingsTable(relaySettingsKeys())), std::string::npos);
    EXPECT_NE(guide.find(settingsTable(relayAgentSettingsKeys())), std::string::npos);
}

} // namespace oriolerill::settings
