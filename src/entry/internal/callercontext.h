#pragma once

#include "config/iconfigview.h"
#include "domain/strongid.h"
#include "entry/internal/attemptclient.h"
#include "entry/internal/callerfront.h"
#include "entry/internal/callerrouter.h"
#include "membership/imembershipview.h"
#include "observability/irequestrecorder.h"
#include "requests/attempthost.h"
#include "routing/accountadmission.h"
#include "routing/retrybudget.h"

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <cstdint>
#include <mutex>

namespace oriolerill::entry {

/// State shared by all requests of one entry.
struct CallerContext
{
    CallerContext(const boost::asio::any_io_executor &workerExecutor,
            const config::IConfigView &configSource,
            const membership::IMembershipView &membershipSource, transport::HttpClient &httpClient,
            observability::IRequestRecorder &requestRecorder, CallerFrontOptions frontOptions);

    domain::RequestId nextRequestId();
    bool tryRetry();

    CallerFrontOptions options;
    const config::IConfigView &configView;
    const membership::IMembershipView &membershipView;
    observability::IRequestRecorder &recorder;
    AttemptClient attemptClient;
    CallerRouter router;
    requests::AttemptHost forwardHost;
    std::mutex admissionMutex;
    routing::AccountAdmission admission;
    routing::RetryBudget retryBudget;
    std::atomic<std::size_t> active = 0;
    /// Increases with each attempt of this process.
    std::atomic<std::uint64_t> sequence = 0;
    std::atomic<std::uint64_t> requestCount = 0;
};

} // namespace oriolerill::entry
