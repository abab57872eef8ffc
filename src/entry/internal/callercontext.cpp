#include "entry/internal/callercontext.h"

#include <utility>

namespace oriolerill::entry {

CallerContext::CallerContext(const boost::asio::any_io_executor &workerExecutor,
        const config::IConfigView &configSource,
        const membership::IMembershipView &membershipSource, transport::HttpClient &httpClient,
        observability::IRequestRecorder &requestRecorder, CallerFrontOptions frontOptions)
    : options(std::move(frontOptions))
    , configView(configSource)
    , membershipView(membershipSource)
    , recorder(requestRecorder)
    , attemptClient(workerExecutor, httpClient, options.attempts)
    , router(options.id, options.dataCentre, options.seed)
    , forwardHost(workerExecutor, options.incarnation, requests::AttemptHostOptions())
    , admission(options.admission)
    , retryBudget(options.retryBudget, domain::TimePoint::clock::now())
{}

domain::RequestId CallerContext::nextRequestId()
{
    // The incarnation makes the ids differ from those issued before a restart.
    const std::uint64_t number = ++requestCount;
    return domain::RequestId(options.id.value() + '-' + std::to_string(options.incarnation.count())
            + '-' + std::to_string(number));
}

bool CallerContext::tryRetry()
{
    const std::scoped_lock lock(admissionMutex);
    return retryBudget.tryRetry(domain::TimePoint::clock::now());
}

} // namespace oriolerill::entry
