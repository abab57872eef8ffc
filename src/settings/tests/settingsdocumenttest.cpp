#include "settings/settingsloader.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace oriolerill::settings {

namespace {

/// A file of the repository, found from the build folder or the root of the repository.
std::string readFile(const std::string &path)
{
    std::filesystem::path folder = std::filesystem::current_path();
    while (!std::filesystem::exists(folder / path) && folder.has_relative_path())
        folder = folder.parent_path();
    std::ostringstream text;
    text << std::ifstream(folder / path).rdbuf();
    return text.str();
}

} // namespace

// Guards against an operators' guide that lacks a key or states an outdated default. The tables are
// printed by `oriolerill --settings-table`.
TEST(SettingsDocument, operatorsGuide_allCommands_currentTables)
{
    const std::string guide = readFile("docs/operators.md");
    EXPECT_NE(guide.find(settingsTable(entrySettingsKeys())), std::string::npos);
    EXPECT_NE(guide.find(settingsTable(agentSettingsKeys())), std::string::npos);
    EXPECT_NE(guide.find(settingsTable(relaySettingsKeys())), std::string::npos);
    EXPECT_NE(guide.find(settingsTable(relayAgentSettingsKeys())), std::string::npos);
}

// Guards against a platform template that leaves one of the operators' bounds at its default: an
// entry with a wrong time until SIGKILL is killed while it serves requests.
TEST(SettingsDocument, platformTemplates_operatorsBounds_eachOneFilledIn)
{
    const auto check = [](const std::string &path, const std::vector<KeyDescription> &keys) {
        const std::string text = readFile(path);
        ASSERT_FALSE(text.empty()) << path;
        for (const KeyDescription &key : keys) {
            if (key.section == "bounds" || key.section == "shutdown")
                EXPECT_NE(text.find('\n' + key.name + " = {{"), std::string::npos)
                        << path << ": " << key.name;
        }
    };
    check("platform/entry.ini", relaySettingsKeys());
    check("platform/agent.ini", relayAgentSettingsKeys());
}

} // namespace oriolerill::settings
