#include "admin/tests/adminfixture.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace oriolerill::admin {

namespace {

struct Example
{
    std::string kind;
    std::string text;
};

/// The path of docs/api.md, searched from the working folder upwards.
std::filesystem::path findPage()
{
    std::filesystem::path folder = std::filesystem::current_path();
    while (!std::filesystem::exists(folder / "docs/api.md") && folder.has_relative_path())
        folder = folder.parent_path();
    return folder / "docs/api.md";
}

/// The fenced blocks of docs/api.md with their info strings.
std::vector<Example> readExamples()
{
    std::ifstream stream(findPage());
    std::vector<Example> examples;
    bool isInside = false;
    for (std::string line; std::getline(stream, line);) {
        if (line.starts_with("```")) {
            isInside = !isInside;
            if (isInside)
                examples.push_back({line.substr(3), {}});
        } else if (isInside) {
            examples.back().text += line + '\n';
        }
    }
    return examples;
}

} // namespace

class ApiDocumentTest : public AdminFixture
{
protected:
    void run(const Example &example)
    {
        if (example.kind == "json apply")
            EXPECT_EQ(apply(example), 200U) << m_answer.body << example.text;
        else if (example.kind == "json refused")
            EXPECT_EQ(apply(example), 400U) << m_answer.body << example.text;
        else if (example.kind == "json conflict")
            EXPECT_EQ(apply(example), 409U) << m_answer.body << example.text;
        else if (example.kind == "json problems")
            compareProblems(example);
        else if (example.kind == "http get")
            requestAll(example);
        else
            return;
        ++m_runs;
    }
    unsigned apply(const Example &example)
    {
        m_answer = send("POST", "/v1/apply", example.text);
        return m_answer.status;
    }
    void compareProblems(const Example &example)
    {
        boost::json::array paths;
        const boost::json::value answer = parse(m_answer);
        for (const auto &problem : answer.at("error").at("problems").as_array())
            paths.push_back(problem.at("path"));
        EXPECT_EQ(paths, boost::json::parse(example.text).as_array()) << m_answer.body;
    }
    void requestAll(const Example &example)
    {
        std::istringstream stream(example.text);
        for (std::string line; std::getline(stream, line);)
            EXPECT_EQ(send("GET", line).status, 200U) << line;
    }

    transport::HttpResponse m_answer;
    int m_runs = 0;
};

// Guards against documentation whose examples do not work.
TEST_F(ApiDocumentTest, examples_inOrder_behaveAsDescribed)
{
    for (const Example &example : readExamples())
        run(example);
    EXPECT_GE(m_runs, 9);
    EXPECT_TRUE(m_store.objects.contains("config/rollout/chat-v7"));
    EXPECT_FALSE(m_store.objects.contains("config/withdrawal/salto-a"));
}

} // namespace oriolerill::admin
