#pragma once

#include "admin/auditlog.h"
#include "admin/authenticator.h"
#include "admin/documentapplier.h"
#include "admin/idocumentplanner.h"
#include "admin/ifleetview.h"
#include "admin/statusreport.h"
#include "config/iconfigview.h"
#include "membership/imembershipview.h"
#include "objectstore/iobjectstore.h"
#include "observability/burnrecorder.h"
#include "observability/burnreport.h"
#include "observability/metrics.h"
#include "transport/httpmessage.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <string>

namespace oriolerill::admin {

/// The parts of the process that the administration API shows or changes.
struct AdminContext
{
    objectstore::IObjectStore &store;
    const IDocumentPlanner &planner;
    const config::IConfigView &config;
    const membership::IMembershipView &members;
    const IFleetView &fleet;
    const observability::BurnRecorder &burn;
    observability::Metrics &metrics;
};

struct AdminOptions
{
    domain::EntryId entry;
    /// Unique for each start of the process; part of the keys of audit records.
    std::string auditWriter;
    domain::Digest bootstrapToken;
    observability::Objectives objectives;
    domain::Duration storeTimeout = std::chrono::seconds(5);
};

namespace internal {
class RequestTarget;
}

/// Handles the requests of the administration API. Safe to use from all workers.
class AdminApi
{
public:
    AdminApi(AdminContext context, AdminOptions options);

    boost::asio::awaitable<transport::HttpResponse> handle(transport::HttpRequest request);
    /// From now on /healthz answers 503, so that load balancers send requests elsewhere.
    void markLeaving() { m_isLeaving = true; }

private:
    using Response = transport::HttpResponse;
    using Target = internal::RequestTarget;

    boost::asio::awaitable<Response> route(
            const transport::HttpRequest &request, const Target &target, Principal principal);
    boost::asio::awaitable<Response> routeItems(
            const transport::HttpRequest &request, const Target &target, Principal principal);
    boost::asio::awaitable<Response> listItems(const std::string &kind);
    boost::asio::awaitable<Response> readItem(const std::string &kind, const std::string &name);
    boost::asio::awaitable<Response> applyDocument(
            const transport::HttpRequest &request, const Target &target, Principal principal);
    boost::asio::awaitable<Response> changeItem(
            const transport::HttpRequest &request, const Target &target, Principal principal);
    boost::asio::awaitable<Response> apply(Principal principal, ApplyRequest request);
    boost::asio::awaitable<Response> listChanges(const Target &target);
    Response status(const Target &target) const;
    Response report(const Target &target) const;
    Response health() const;
    Response metrics() const;
    StatusReport statusReport(std::optional<domain::ConfigVersion> wanted) const;
    domain::TimePoint storeDeadline() const;

    AdminContext m_context;
    AdminOptions m_options;
    Authenticator m_authenticator;
    AuditLog m_audit;
    DocumentApplier m_applier;
    std::atomic<bool> m_isLeaving = false;
};

} // namespace oriolerill::admin
