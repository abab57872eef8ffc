#include "distribution/uploadpacer.h"

#include <algorithm>

namespace oriolerill::distribution {

UploadPacer::UploadPacer(UploadPacerOptions options)
    : m_options(options)
{}

domain::TimePoint UploadPacer::nextAt(domain::TimePoint now) const
{
    return std::max(now, m_freeAt);
}

void UploadPacer::onBegin(domain::Bytes size, domain::TimePoint now)
{
    const double rate = static_cast<double>(m_options.link.count()) * m_options.share;
    const std::chrono::duration<double> taken(static_cast<double>(size.count()) / rate);
    m_freeAt = nextAt(now) + std::chrono::duration_cast<domain::Duration>(taken);
}

} // namespace oriolerill::distribution
