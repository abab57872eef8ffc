#pragma once

#include "config/iconfigview.h"
#include "config/sharedconfigtable.h"
#include "domain/quantity.h"
#include "domain/strongid.h"
#include "membership/imembershipview.h"
#include "objectstore/iobjectstore.h"
#include "transport/icontrolclient.h"
#include "transport/icontrolserver.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <memory>

namespace oriolerill::entry {

struct ConfigServiceOptions
{
    domain::EntryId self;
    domain::DataCentreId dataCentre;
    domain::Incarnation incarnation;
    /// Number of entries of a data centre that watch the store.
    std::size_t watchers = 2;
    domain::Duration pullInterval = std::chrono::seconds(1);
    /// Duration of one watch call; the store counts a waiting watch as one call.
    domain::Duration watchTimeout = std::chrono::seconds(8);
    domain::Duration callTimeout = std::chrono::seconds(3);
};

/// Keeps the configuration table of an entry up to date: some entries watch the store and push
/// changes to the others along a tree; periodic pulls repair lost pushes.
///
/// The referenced objects have to live until the executor has stopped.
class ConfigService : public config::IConfigView
{
public:
    ConfigService(boost::asio::any_io_executor executor, objectstore::IObjectStore &store,
            transport::IControlClient &control, const membership::IMembershipView &members,
            config::SharedConfigTable &table, ConfigServiceOptions options);
    ~ConfigService() override;
    ConfigService(const ConfigService &) = delete;
    ConfigService &operator=(const ConfigService &) = delete;

    void start();
    void stop();

    std::shared_ptr<const config::ConfigSnapshot> snapshot() const override;

    /// Answers ConfigPull and ConfigPush.
    void handle(
            const protocol::ControlRequest &request, const transport::IControlServer::Reply &reply);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::entry
