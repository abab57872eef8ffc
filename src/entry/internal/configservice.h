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
    /// Entries of a data centre that hold a watch at the store.
    std::size_t watchers = 2;
    domain::Duration pullInterval = std::chrono::seconds(1);
    /// A waiting watch counts as one call at the store.
    domain::Duration watchTimeout = std::chrono::seconds(8);
    domain::Duration callTimeout = std::chrono::seconds(3);
};

/// Keeps the configuration table of an entry up to date: a watch at the store in some entries,
/// pushes along a tree to the others, and a pull every second that repairs lost pushes.
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
