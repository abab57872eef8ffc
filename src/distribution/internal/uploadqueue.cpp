#include "distribution/uploadqueue.h"

#include <utility>

namespace oriolerill::distribution {

UploadQueue::Ticket UploadQueue::add(UploadRequest request)
{
    m_waiting.emplace(++m_last, std::move(request));
    return m_last;
}

std::optional<UploadQueue::Ticket> UploadQueue::next(
        const std::function<bool(const UploadRequest &)> &isHeld) const
{
    std::optional<Ticket> local;
    for (const auto &[ticket, request] : m_waiting) {
        const bool isWorse = local && !request.isForOtherDataCentre;
        if (isWorse || !isHeld(request))
            continue;
        if (request.isForOtherDataCentre)
            return ticket;
        local = ticket;
    }
    return local;
}

} // namespace oriolerill::distribution
