#pragma once

#include "membership/membershipsnapshot.h"
#include "protocol/control.pb.h"

namespace oriolerill::membership {

EndpointRecord endpointFromInfo(const protocol::EndpointInfo &info);
protocol::EndpointInfo infoFromEndpoint(const EndpointRecord &record);

EntryRecord entryFromInfo(const protocol::EntryInfo &info);
protocol::EntryInfo infoFromEntry(const EntryRecord &record);

DataCentreSummary summaryFromMessage(const protocol::DataCentreSummary &message);
protocol::DataCentreSummary messageFromSummary(const DataCentreSummary &summary);

} // namespace oriolerill::membership
