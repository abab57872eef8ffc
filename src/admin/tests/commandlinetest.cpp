#include "admin/commandline.h"
#include "admin/tests/adminfixture.h"

#include <cstdio>
#include <fstream>
#include <sstream>

namespace oriolerill::admin {

/// Runs commands against the administration API without a network.
class CommandLineTest : public AdminFixture, protected IAdminClient
{
protected:
    void SetUp() override
    {
        m_environment["ORIOLERILL_ADMIN"] = "127.0.0.1:8003";
        m_environment["ORIOLERILL_TOKEN"] = "ana-token";
        m_document = write("document.json",
                R"({"items":[{"kind":"service","name":"chat","spec":{"kind":"model"}}]})");
    }

    domain::Expected<transport::HttpResponse> send(
            const domain::SocketAddress &entry, transport::HttpRequest request) override
    {
        if (m_down.contains(entry.toString()))
            return domain::Error{domain::ErrorKind::Unavailable, "refused", "start the entry"};
        return AdminFixture::send(std::move(request));
    }

    ExitCode run(const std::vector<std::string> &arguments)
    {
        m_output.str("");
        m_errors.str("");
        const CommandLine commandLine({m_output, m_errors, *this, m_planner,
                [](const settings::EntrySettings &) { return ExitCode::Ok; },
                [this](const char *name) { return m_environment[name]; }});
        return commandLine.run(arguments);
    }
    static std::string write(const std::string &name, const std::string &text)
    {
        std::string file = testing::TempDir() + "oriolerill-" + name;
        std::ofstream(file) << text;
        return file;
    }
    bool hasOutput(const std::string &text) const
    {
        return m_output.str().find(text) != std::string::npos;
    }
    bool hasError(const std::string &text) const
    {
        return m_errors.str().find(text) != std::string::npos;
    }

    std::map<std::string, std::string> m_environment;
    std::set<std::string> m_down;
    std::ostringstream m_output;
    std::ostringstream m_errors;
    std::string m_document;
};

TEST_F(CommandLineTest, apply_validDocument_printsItemsAndStatusCommand)
{
    EXPECT_EQ(run({"apply", m_document, "--dry-run"}), ExitCode::Ok);
    EXPECT_TRUE(hasOutput("service/chat: create, planned")) << m_output.str();
    EXPECT_TRUE(m_store.writes.empty());
    EXPECT_EQ(run({"apply", m_document}), ExitCode::Ok);
    EXPECT_TRUE(hasOutput("service/chat: create, done, version 1.2")) << m_output.str();
    EXPECT_TRUE(hasOutput("oriolerill status --version 1.2"));
    EXPECT_EQ(run({"apply", m_document, "--json"}), ExitCode::Ok);
    EXPECT_TRUE(hasOutput("\"action\":\"keep\""));
}

// Guards against exit codes that scripts cannot tell apart.
TEST_F(CommandLineTest, apply_failures_documentedExitCodes)
{
    const auto faulty = write("faulty.json", R"({"items":[{"kind":"bad","name":"a","spec":{}}]})");
    EXPECT_EQ(run({"apply", faulty}), ExitCode::BadInput);
    EXPECT_TRUE(hasError("items[0].spec: the kind \"bad\" is not known; use")) << m_errors.str();
    const auto old = write("old.json",
            R"({"items":[{"kind":"service","name":"x","version":"1.9","spec":{"kind":"plain"}}]})");
    EXPECT_EQ(run({"apply", old}), ExitCode::Conflict);
    EXPECT_TRUE(hasError("service/x: expected version 1.9, now -")) << m_errors.str();
    m_environment["ORIOLERILL_TOKEN"] = "wrong";
    EXPECT_EQ(run({"apply", m_document}), ExitCode::Failed);
    m_down.insert("127.0.0.1:8003");
    EXPECT_EQ(run({"apply", m_document}), ExitCode::Unavailable);
    EXPECT_EQ(run({"apply", "/nowhere.json"}), ExitCode::BadInput);
    EXPECT_EQ(run({"apply"}), ExitCode::BadInput);
    EXPECT_EQ(run({"aply", m_document}), ExitCode::BadInput);
    EXPECT_EQ(run({"apply", m_document, "--admin", "localhost"}), ExitCode::BadInput);
    m_environment.clear();
    EXPECT_EQ(run({"status"}), ExitCode::BadInput);
    EXPECT_TRUE(hasError("ORIOLERILL_ADMIN"));
}

// Guards against a command that fails because one of several entries is down.
TEST_F(CommandLineTest, commands_oneEntryDown_useTheOthers)
{
    m_down.insert("127.0.0.1:8003");
    const std::vector<std::string> both
            = {"--admin", "127.0.0.1:8003", "--admin", "127.0.0.2:8003"};
    for (const char *command : {"status", "report"}) {
        std::vector<std::string> arguments = {command};
        arguments.insert(arguments.end(), both.begin(), both.end());
        EXPECT_EQ(run(arguments), ExitCode::Ok) << m_errors.str();
        EXPECT_TRUE(hasError("127.0.0.1:8003: unavailable: refused; start the entry"));
    }
    EXPECT_TRUE(hasOutput("counted by 1 of 2 entries\nnot counted: 127.0.0.1:8003: refused"));
    EXPECT_EQ(run({"apply", m_document, both[0], both[1], both[2], both[3]}), ExitCode::Ok);
    EXPECT_EQ(run({"report", both[0], both[1]}), ExitCode::Unavailable);
}

TEST_F(CommandLineTest, report_twoEntries_addsCounters)
{
    observability::RequestRecord record;
    record.account = domain::AccountId("shop");
    record.finishedAt = std::chrono::system_clock::now();
    m_burn.record(record);
    EXPECT_EQ(run({"report", "--admin", "127.0.0.1:1", "--admin", "127.0.0.2:1", "--json"}),
            ExitCode::Ok);
    EXPECT_TRUE(hasOutput("\"5m\":{\"requests\":2")) << m_output.str();
}

TEST_F(CommandLineTest, check_files_offline)
{
    const auto faulty = write("faulty.json", R"({"items":[{"kind":"bad","name":"a","spec":{}}]})");
    EXPECT_EQ(run({"check", m_document}), ExitCode::Ok);
    EXPECT_TRUE(hasOutput("document.json: ok"));
    EXPECT_EQ(run({"check", faulty, m_document}), ExitCode::BadInput);
    EXPECT_TRUE(hasError("faulty.json: items[0].spec: the kind"));
    EXPECT_EQ(run({"check", "--settings", faulty}), ExitCode::BadInput);
    EXPECT_EQ(run({"check"}), ExitCode::BadInput);
}

} // namespace oriolerill::admin
