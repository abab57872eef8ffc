#pragma once

#include "admin/ifleetview.h"
#include "config/iconfigview.h"
#include "protocol/control.pb.h"

#include <map>
#include <mutex>

namespace oriolerill::entry {

/// Watermarks that other entries report in their membership exchanges. Safe to use from all
/// workers.
class AdminFleetView : public admin::IFleetView
{
public:
    AdminFleetView(domain::EntryId self, domain::DataCentreId dataCentre,
            const config::IConfigView &config);

    /// Records the watermark of an exchange's sender.
    void observe(const protocol::MembershipExchange &exchange, domain::TimePoint now);

    std::vector<admin::EntryWatermark> watermarks() const override;

private:
    struct Report
    {
        domain::DataCentreId dataCentre;
        domain::ConfigVersion watermark;
        domain::TimePoint receivedAt;
    };

    domain::EntryId m_self;
    domain::DataCentreId m_dataCentre;
    const config::IConfigView &m_config;
    mutable std::mutex m_mutex;
    std::map<domain::EntryId, Report> m_reports;
};

} // namespace oriolerill::entry
