#include "membership/memberinfo.h"

namespace oriolerill::membership {

namespace {

domain::SocketAddress addressFrom(const std::string &text)
{
    return domain::SocketAddress::parse(text).value_or(domain::SocketAddress());
}

std::string textFrom(const domain::SocketAddress &address)
{
    return address.isEmpty() ? std::string() : address.toString();
}

std::string bytesFrom(const domain::Digest &digest)
{
    return digest.isNone() ? std::string() : digest.bytes();
}

} // namespace

EndpointRecord endpointFromInfo(const protocol::EndpointInfo &info)
{
    EndpointRecord record;
    record.id = domain::EndpointId(info.id());
    record.dataCentre = domain::DataCentreId(info.data_centre());
    record.service = domain::ServiceId(info.service());
    record.incarnation = domain::Incarnation(info.incarnation());
    record.sequence = info.sequence();
    record.requestAddress = addressFrom(info.request_address());
    record.controlAddress = addressFrom(info.control_address());
    record.state = info.state();
    record.activeDigest
            = domain::Digest::fromBytes(info.active_digest()).value_or(domain::Digest());
    record.inFlight = info.load().in_flight();
    record.limit = info.load().limit();
    return record;
}

protocol::EndpointInfo infoFromEndpoint(const EndpointRecord &record)
{
    protocol::EndpointInfo info;
    info.set_id(record.id.value());
    info.set_data_centre(record.dataCentre.value());
    info.set_service(record.service.value());
    info.set_incarnation(record.incarnation.count());
    info.set_sequence(record.sequence);
    info.set_request_address(textFrom(record.requestAddress));
    info.set_control_address(textFrom(record.controlAddress));
    info.set_state(record.state);
    info.set_active_digest(bytesFrom(record.activeDigest));
    info.mutable_load()->set_in_flight(record.inFlight);
    info.mutable_load()->set_limit(record.limit);
    return info;
}

EntryRecord entryFromInfo(const protocol::EntryInfo &info)
{
    EntryRecord record;
    record.id = domain::EntryId(info.id());
    record.dataCentre = domain::DataCentreId(info.data_centre());
    record.region = domain::RegionId(info.region());
    record.incarnation = domain::Incarnation(info.incarnation());
    record.sequence = info.sequence();
    record.requestAddress = addressFrom(info.request_address());
    record.controlAddress = addressFrom(info.control_address());
    record.isLeaving = info.leaving();
    record.isAlive = !info.dead();
    return record;
}

protocol::EntryInfo infoFromEntry(const EntryRecord &record)
{
    protocol::EntryInfo info;
    info.set_id(record.id.value());
    info.set_data_centre(record.dataCentre.value());
    info.set_region(record.region.value());
    info.set_incarnation(record.incarnation.count());
    info.set_sequence(record.sequence);
    info.set_request_address(textFrom(record.requestAddress));
    info.set_control_address(textFrom(record.controlAddress));
    info.set_leaving(record.isLeaving);
    info.set_dead(!record.isAlive);
    return info;
}

DataCentreSummary summaryFromMessage(const protocol::DataCentreSummary &message)
{
    DataCentreSummary summary;
    summary.dataCentre = domain::DataCentreId(message.data_centre());
    summary.region = domain::RegionId(message.region());
    summary.incarnation = domain::Incarnation(message.incarnation());
    summary.sequence = message.sequence();
    for (const protocol::ServiceSummary &service : message.services()) {
        ServiceSummary &part = summary.services[domain::ServiceId(service.service())];
        part.serving = service.serving();
        part.inFlight = service.in_flight();
        part.limit = service.limit();
        for (const std::string &raw : service.active_digests()) {
            if (const auto digest = domain::Digest::fromBytes(raw))
                part.activeDigests.insert(*digest);
        }
    }
    return summary;
}

protocol::DataCentreSummary messageFromSummary(const DataCentreSummary &summary)
{
    protocol::DataCentreSummary message;
    message.set_data_centre(summary.dataCentre.value());
    message.set_region(summary.region.value());
    message.set_incarnation(summary.incarnation.count());
    message.set_sequence(summary.sequence);
    for (const auto &[id, part] : summary.services) {
        protocol::ServiceSummary *const service = message.add_services();
        service->set_service(id.value());
        service->set_serving(part.serving);
        service->set_in_flight(part.inFlight);
        service->set_limit(part.limit);
        for (const domain::Digest &digest : part.activeDigests)
            service->add_active_digests(digest.bytes());
    }
    return message;
}

} // namespace oriolerill::membership
