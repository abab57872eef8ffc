#pragma once

#include "config/sharedconfigtable.h"
#include "domain/socketaddress.h"
#include "membership/imembershipview.h"
#include "objectstore/iobjectstore.h"
#include "transport/icontrolclient.h"
#include "transport/icontrolserver.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <memory>
#include <vector>

namespace oriolerill::entry {

struct MembershipServiceOptions
{
    /// This entry; its incarnation increases with each start of the process.
    membership::EntryRecord self;
    /// Control addresses of entries to contact while the membership has no other live entry.
    std::vector<domain::SocketAddress> seeds;
    domain::Duration vmListInterval = std::chrono::seconds(5);
    domain::Duration tickInterval = std::chrono::milliseconds(100);
};

/// Handles heartbeats, exchanges membership with other entries and reads the platform's VM list.
///
/// The referenced objects have to live until the executor has stopped.
class MembershipService : public membership::IMembershipView
{
public:
    /// Heartbeat replies contain configuration from the table.
    MembershipService(boost::asio::any_io_executor executor, transport::IControlClient &control,
            objectstore::IObjectStore &store, const config::SharedConfigTable &table,
            MembershipServiceOptions options);
    ~MembershipService() override;
    MembershipService(const MembershipService &) = delete;
    MembershipService &operator=(const MembershipService &) = delete;

    void start();
    void stop();
    /// Announces to the other entries that this one accepts no new requests.
    void announceLeaving();

    std::shared_ptr<const membership::MembershipSnapshot> snapshot() const override;

    /// Answers Heartbeat and MembershipExchange.
    void handle(
            const protocol::ControlRequest &request, const transport::IControlServer::Reply &reply);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::entry
