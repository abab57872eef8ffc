#include "entry/internal/adminfleetview.h"

#include "config/versiontext.h"

#include <algorithm>
#include <utility>

namespace oriolerill::entry {

namespace {

// Without a limit, entries that have stopped would stay in the status for ever.
constexpr auto ReportLifetime = std::chrono::minutes(5);

} // namespace

AdminFleetView::AdminFleetView(
        domain::EntryId self, domain::DataCentreId dataCentre, const config::IConfigView &config)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_config(config)
{}

void AdminFleetView::observe(const protocol::MembershipExchange &exchange, domain::TimePoint now)
{
    const domain::EntryId sender(exchange.sender().id());
    if (sender.isEmpty() || sender == m_self)
        return;
    const domain::ConfigVersion watermark = config::fromProtocol(exchange.watermark());
    const std::scoped_lock lock(m_mutex);
    Report &report = m_reports[sender];
    // Exchanges can arrive out of order; a watermark never decreases.
    report.watermark = std::max(report.watermark, watermark);
    report.dataCentre = domain::DataCentreId(exchange.sender().data_centre());
    report.receivedAt = now;
    std::erase_if(m_reports,
            [now](const auto &entry) { return now - entry.second.receivedAt > ReportLifetime; });
}

std::vector<admin::EntryWatermark> AdminFleetView::watermarks() const
{
    const domain::TimePoint now = domain::TimePoint::clock::now();
    std::vector<admin::EntryWatermark> watermarks
            = {{m_self, m_dataCentre, m_config.snapshot()->watermark, {}}};
    const std::scoped_lock lock(m_mutex);
    for (const auto &[id, report] : m_reports)
        watermarks.push_back({id, report.dataCentre, report.watermark, now - report.receivedAt});
    return watermarks;
}

} // namespace oriolerill::entry
