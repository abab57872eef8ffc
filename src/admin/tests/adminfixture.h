#pragma once

#include "admin/adminapi.h"
#include "admin/configdocumentplanner.h"
#include "admin/tests/fakeobjectstore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

namespace oriolerill::admin {

class FakeConfigView : public config::IConfigView
{
public:
    config::ConfigSnapshot current;
    std::shared_ptr<const config::ConfigSnapshot> snapshot() const override
    {
        return std::make_shared<config::ConfigSnapshot>(current);
    }
};

class FakeMembershipView : public membership::IMembershipView
{
public:
    membership::MembershipSnapshot current;
    std::shared_ptr<const membership::MembershipSnapshot> snapshot() const override
    {
        return std::make_shared<membership::MembershipSnapshot>(current);
    }
};

class FakeFleetView : public IFleetView
{
public:
    std::vector<EntryWatermark> current;
    std::vector<EntryWatermark> watermarks() const override { return current; }
};

/// An administration API over fakes. The account "ana" is an operator of all services, "ben" of
/// "chat" only, "cem" of none.
class AdminFixture : public testing::Test
{
protected:
    AdminFixture()
    {
        addAccount("ana", {}, true);
        addAccount("ben", {domain::ServiceId("chat")}, true);
        addAccount("cem", {}, false);
        m_options.entry = domain::EntryId("entry-1");
        m_options.auditWriter = "entry-1-7";
        m_options.bootstrapToken = domain::Digest::of(std::string_view("first-token"));
        m_api = std::make_unique<AdminApi>(
                AdminContext{m_store, m_planner, m_config, m_members, m_fleet, m_burn, m_metrics},
                m_options);
    }

    void addAccount(const char *name, std::set<domain::ServiceId> services, bool isOperator)
    {
        config::Account account;
        account.id = domain::AccountId(name);
        account.tokenDigest = domain::Digest::of(std::string(name) + "-token");
        account.services = std::move(services);
        account.isOperator = isOperator;
        m_config.current.accounts[account.id] = account;
    }

    transport::HttpResponse send(const std::string &method, const std::string &target,
            std::string body = {}, const std::string &token = "ana-token",
            const std::vector<transport::HttpField> &fields = {})
    {
        transport::HttpRequest request;
        request.method = method;
        request.target = target;
        request.body = std::move(body);
        if (!token.empty())
            request.fields.add("Authorization", "Bearer " + token);
        for (const transport::HttpField &field : fields)
            request.fields.add(field.name, field.value);
        return send(std::move(request));
    }
    transport::HttpResponse send(transport::HttpRequest request)
    {
        boost::asio::io_context context;
        auto answer = boost::asio::co_spawn(
                context, m_api->handle(std::move(request)), boost::asio::use_future);
        context.run();
        return answer.get();
    }
    static boost::json::value parse(const transport::HttpResponse &response)
    {
        return boost::json::parse(response.body);
    }

    FakeObjectStore m_store;
    ConfigDocumentPlanner m_planner;
    FakeConfigView m_config;
    FakeMembershipView m_members;
    FakeFleetView m_fleet;
    observability::BurnRecorder m_burn{observability::BurnRecorderOptions()};
    observability::Metrics m_metrics;
    AdminOptions m_options;
    std::unique_ptr<AdminApi> m_api;
};

} // namespace oriolerill::admin
