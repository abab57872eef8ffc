#include "admin/tests/adminfixture.h"
#include "config/versiontext.h"

namespace oriolerill::admin {

namespace {

constexpr const char *TwoItems = R"({"items":[
    {"kind":"service","name":"chat","spec":{"kind":"model"}},
    {"kind":"limit","name":"chat","spec":{"maxConcurrency":4}}]})";
constexpr const char *ModelService = R"({"kind":"model"})";
constexpr unsigned Ok = 200;

domain::Error outage()
{
    return {domain::ErrorKind::Timeout, "no answer from the store", "try again"};
}

} // namespace

using AdminApiTest = AdminFixture;

// Guards against administration by callers and by clients without authentication.
TEST_F(AdminApiTest, handle_withoutOperatorRights_unauthorized)
{
    for (const char *token : {"", "wrong", "cem-token"}) {
        EXPECT_EQ(send("GET", "/v1/items", "", token).status, 401U) << token;
        EXPECT_EQ(send("POST", "/v1/apply", TwoItems, token).status, 401U) << token;
        EXPECT_EQ(send("GET", "/v1/status", "", token).status, 401U) << token;
    }
    EXPECT_EQ(send("GET", "/v1/items", "", "first-token").status, Ok);
    EXPECT_TRUE(m_store.objects.empty());
}

// Guards against an unset bootstrap digest that accepts some token.
TEST_F(AdminApiTest, handle_noBootstrapDigest_emptyTokenRefused)
{
    const Authenticator authenticator(m_config, domain::Digest());
    transport::HttpFields fields;
    fields.add("Authorization", "Bearer first-token");
    EXPECT_FALSE(authenticator.authenticate(fields));
}

TEST_F(AdminApiTest, apply_newItems_writtenAndAudited)
{
    const auto response = send("POST", "/v1/apply", TwoItems);
    ASSERT_EQ(response.status, Ok) << response.body;
    EXPECT_TRUE(m_store.objects.contains("config/service/chat"));
    EXPECT_EQ(parse(response).at("items").at(1).at("state"), "done");
    const auto changes = parse(send("GET", "/v1/changes"));
    ASSERT_EQ(changes.at("changes").as_array().size(), 1U);
    EXPECT_EQ(changes.at("changes").at(0).at("who"), "ana");
    EXPECT_EQ(changes.at("changes").at(0).at("items").at(1).at("name"), "chat");
    EXPECT_EQ(changes.at("changes").at(0).at("items").at(1).at("state"), "done");
}

// Guards against needless writes and audit records when a document is applied again.
TEST_F(AdminApiTest, apply_twice_secondKeepsEverything)
{
    send("POST", "/v1/apply", TwoItems);
    const std::size_t writes = m_store.writes.size();
    const auto response = send("POST", "/v1/apply", TwoItems);
    EXPECT_EQ(response.status, Ok);
    EXPECT_EQ(parse(response).at("items").at(0).at("action"), "keep");
    EXPECT_EQ(m_store.writes.size(), writes);
}

// Guards against a dry run that writes.
TEST_F(AdminApiTest, apply_dryRun_writesNothing)
{
    const auto response = send("POST", "/v1/apply?dry_run=true", TwoItems);
    EXPECT_EQ(response.status, Ok);
    EXPECT_EQ(parse(response).at("items").at(0).at("state"), "planned");
    EXPECT_TRUE(m_store.writes.empty());
    EXPECT_EQ(send("POST", "/v1/apply?dry_run=yes", TwoItems).status, 400U);
    EXPECT_TRUE(m_store.writes.empty());
}

// Guards against an invalid document that is applied in part.
TEST_F(AdminApiTest, apply_invalidDocument_allProblemsAndNothingWritten)
{
    const auto response = send("POST", "/v1/apply", R"({"items":[{"kind":"bad","name":"a"},
        {"kind":"service","name":"chat","spec":{"kind":"model"}},{"kind":"bad","name":"b"}]})");
    EXPECT_EQ(response.status, 400U);
    EXPECT_EQ(parse(response).at("error").at("problems").as_array().size(), 2U);
    EXPECT_EQ(parse(response).at("error").at("problems").at(1).at("path"), "items[2].spec");
    EXPECT_TRUE(m_store.writes.empty());
}

// Guards against stored rollouts and limits whose service has been deleted.
TEST_F(AdminApiTest, apply_deletionOfReferencedService_refusedUnlessAllDeleted)
{
    send("POST", "/v1/apply", TwoItems);
    EXPECT_EQ(send("DELETE", "/v1/items/service/chat").status, 400U);
    EXPECT_TRUE(m_store.objects.contains("config/service/chat"));
    const auto response = send("POST", "/v1/apply",
            R"({"items":[{"kind":"limit","name":"chat","delete":true},
                {"kind":"service","name":"chat","delete":true}]})");
    EXPECT_EQ(response.status, 200U) << response.body;
    EXPECT_FALSE(m_store.objects.contains("config/service/chat"));
}

// Guards against operators who overwrite each other's changes: the second one gets a conflict with
// the version to re-read.
TEST_F(AdminApiTest, apply_oldVersion_conflictWithCurrentVersion)
{
    m_store.put("config/service/chat", ModelService);
    m_store.put("config/limit/chat", "{\"maxConcurrency\":1}");
    m_store.put("config/limit/chat", "{\"maxConcurrency\":2}");
    const auto response = send("POST", "/v1/apply",
            R"({"items":[{"kind":"limit","name":"chat","version":"1.2","spec":{"maxConcurrency":3}}]})");
    EXPECT_EQ(response.status, 409U);
    EXPECT_EQ(parse(response).at("error").at("conflicts").at(0).at("current"), "1.3");
    EXPECT_TRUE(m_store.writes.empty());
}

// Guards against overwriting a change made between the read and the write of one apply.
TEST_F(AdminApiTest, apply_concurrentWrite_conflictAndRestNotTried)
{
    m_store.put("config/service/chat", "{\"kind\":\"plain\"}");
    m_store.beforeWrite = [this](const std::string &key) {
        if (key == "config/service/chat")
            m_store.put(key, "{\"kind\":\"plain\",\"ledgerSlots\":2}");
    };
    const auto response = send("POST", "/v1/apply", TwoItems);
    EXPECT_EQ(response.status, 409U);
    EXPECT_EQ(parse(response).at("items").at(0).at("state"), "conflict");
    EXPECT_EQ(parse(response).at("items").at(1).at("state"), "not_tried");
    const std::string current = config::toText(m_store.objects["config/service/chat"].version);
    EXPECT_EQ(parse(response).at("error").at("conflicts").at(0).at("current"), current.c_str());
    EXPECT_EQ(
            m_store.objects["config/service/chat"].value, "{\"kind\":\"plain\",\"ledgerSlots\":2}");
}

// Guards against a lost answer of the store that is reported as success or as "not done". Applying
// the document again completes it.
TEST_F(AdminApiTest, apply_storeStopsAnswering_unknownThenCompletedByRepeat)
{
    m_store.writeErrors = {std::nullopt, std::nullopt, outage()};
    const auto response = send("POST", "/v1/apply", TwoItems);
    EXPECT_EQ(response.status, 504U);
    EXPECT_EQ(parse(response).at("items").at(0).at("state"), "done");
    EXPECT_EQ(parse(response).at("items").at(1).at("state"), "unknown");
    const auto repeated = send("POST", "/v1/apply", TwoItems);
    EXPECT_EQ(parse(repeated).at("items").at(0).at("action"), "keep");
    EXPECT_EQ(parse(repeated).at("items").at(1).at("action"), "create");
    EXPECT_EQ(repeated.status, Ok);
}

// Guards against changes without an audit record.
TEST_F(AdminApiTest, apply_auditCannotBeWritten_nothingChanged)
{
    m_store.writeErrors = {outage()};
    const auto response = send("POST", "/v1/apply", TwoItems);
    EXPECT_EQ(response.status, 504U);
    EXPECT_EQ(parse(response).at("items").at(0).at("state"), "not_tried");
    EXPECT_TRUE(m_store.writes.empty());
}

// Guards against operators who change items of services that they have no rights on, or move a
// rollout to another service.
TEST_F(AdminApiTest, apply_beyondRights_forbiddenAndNothingWritten)
{
    const std::string manifest
            = R"("model":"m","modelVersion":"1","manifest":")" + std::string(64, 'a') + "\"}}]}";
    const std::string documents[] = {
            R"({"items":[{"kind":"limit","name":"orders","spec":{}}]})",
            R"({"items":[{"kind":"rollout","name":"r","spec":{"service":"orders",)" + manifest,
            R"({"items":[{"kind":"rollout","name":"taken","spec":{"service":"chat",)" + manifest,
            R"({"items":[{"kind":"rollout","name":"taken","delete":true}]})",
            R"({"items":[{"kind":"withdrawal","name":"salto-a","spec":{"reason":"x"}}]})",
            R"({"items":[{"kind":"account","name":"ben","delete":true}]})",
    };
    m_store.put("config/service/chat", R"({"kind":"plain"})");
    m_store.put("config/service/orders", R"({"kind":"plain"})");
    m_store.put("config/account/ben", "{}");
    m_store.put("config/rollout/taken", R"({"service":"orders"})");
    for (const std::string &document : documents) {
        EXPECT_EQ(send("POST", "/v1/apply", document, "ben-token").status, 403U) << document;
        EXPECT_EQ(send("POST", "/v1/apply?dry_run=true", document).status, Ok) << document;
    }
    EXPECT_TRUE(m_store.writes.empty());
    EXPECT_EQ(send("POST", "/v1/apply", TwoItems, "ben-token").status, Ok);
}

TEST_F(AdminApiTest, items_putReadDelete_conditionalByETag)
{
    const std::string path = "/v1/items/limit/chat";
    m_store.put("config/service/chat", ModelService);
    EXPECT_EQ(send("GET", path).status, 404U);
    EXPECT_EQ(send("PUT", path, "{\"maxConcurrency\":4}").status, Ok);
    EXPECT_EQ(send("PUT", path, "{}", "ana-token", {{"If-None-Match", "*"}}).status, 409U);
    const auto read = send("GET", path);
    EXPECT_EQ(parse(read).at("spec").at("maxConcurrency"), 4);
    const std::string tag = read.fields.valueOr("ETag", "");
    EXPECT_EQ(send("PUT", path, "{\"maxConcurrency\":5}", "ana-token", {{"If-Match", tag}}).status,
            Ok);
    EXPECT_EQ(send("DELETE", path, "", "ana-token", {{"If-Match", tag}}).status, 409U);
    EXPECT_EQ(send("DELETE", path, "", "ana-token", {{"If-Match", "tag"}}).status, 400U);
    EXPECT_EQ(parse(send("GET", "/v1/items/limit")).at("items").as_array().size(), 1U);
    EXPECT_EQ(send("DELETE", path).status, Ok);
    EXPECT_EQ(send("GET", path).status, 404U);
}

// Guards against an outage of the platform that is reported as a missing item.
TEST_F(AdminApiTest, items_storeDown_unavailable)
{
    m_store.readError = domain::Error{domain::ErrorKind::Unavailable, "the store is down", "wait"};
    EXPECT_EQ(send("GET", "/v1/items/limit/chat").status, 503U);
    EXPECT_EQ(send("GET", "/v1/items").status, 503U);
    EXPECT_EQ(send("POST", "/v1/apply", TwoItems).status, 503U);
    EXPECT_EQ(send("GET", "/v1/status").status, Ok);
}

TEST_F(AdminApiTest, handle_unknownPathsAndMethods_clientErrorStatus)
{
    EXPECT_EQ(send("GET", "/v1/nothing").status, 404U);
    EXPECT_EQ(send("GET", "/v1/items/a/b/c").status, 404U);
    EXPECT_EQ(send("GET", "/v1/itemsx").status, 404U);
    EXPECT_EQ(send("GET", "/v1/apply").status, 405U);
    EXPECT_EQ(send("POST", "/v1/status").status, 405U);
    EXPECT_EQ(send("GET", "/v1/changes?hours=0").status, 400U);
    EXPECT_EQ(send("GET", "/v1/status?version=x").status, 400U);
    EXPECT_EQ(send("GET", "/v1/report?format=xml").status, 400U);
}

// Guards against a load balancer that keeps sending requests to an entry that is leaving.
TEST_F(AdminApiTest, health_whileLeaving_unavailable)
{
    EXPECT_EQ(send("GET", "/healthz", "", "").status, Ok);
    m_api->markLeaving();
    EXPECT_EQ(send("GET", "/healthz", "", "").status, 503U);
    EXPECT_EQ(send("GET", "/v1/status").status, Ok);
}

TEST_F(AdminApiTest, reportAndMetrics_afterRequests_countThem)
{
    observability::RequestRecord record;
    record.account = domain::AccountId("shop");
    record.outcome = observability::RequestOutcome::NotRun;
    record.finishedAt = std::chrono::system_clock::now();
    m_burn.record(record);
    m_config.current.withdrawals[domain::DataCentreId("salto-a")]
            = {domain::DataCentreId("salto-a"), "flood"};
    const auto report = parse(send("GET", "/v1/report"));
    EXPECT_EQ(report.at("lines").at(0).at("windows").at("5m").at("burnedBy").at("refused"), 1);
    EXPECT_EQ(report.at("inProgress").at(0).at("state"), "flood");
    EXPECT_NE(send("GET", "/v1/report?format=text").body.find("account=shop"), std::string::npos);
    EXPECT_TRUE(observability::BurnSums::fromJson(send("GET", "/v1/report?format=counters").body));
    EXPECT_NE(
            send("GET", "/metrics", "", "")
                    .body.find("oriolerill_admin_requests_total{area=\"report\",status=\"200\"} 3"),
            std::string::npos);
}

} // namespace oriolerill::admin
