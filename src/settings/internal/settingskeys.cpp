#include "settings/internal/settingskeys.h"

namespace oriolerill::settings::internal {

namespace {

constexpr bool Required = true;
constexpr NumberRange WorkerRange = {1, 256};
constexpr NumberRange TimeoutRange = {10, 60000};
constexpr NumberRange DeadlineRange = {1, 3600000};
constexpr NumberRange BodyRange = {1024, 1U << 30U};
constexpr NumberRange ConnectionRange = {1, 1000000};
constexpr NumberRange DrainRange = {0, 3600000};
constexpr NumberRange MemoryRange = {1U << 20U, std::uint64_t(1) << 40U};

void addPlatform(KeyTable &keys, domain::SocketAddress &address, domain::Duration &timeout)
{
    keys.address(
            {"platform", "address", Required}, address, "address of the platform's object API");
    keys.duration({"platform", "timeout_ms"}, timeout, TimeoutRange,
            "longest wait for one call of the object API");
}

void addSeeds(KeyTable &keys, std::vector<domain::SocketAddress> &seeds)
{
    keys.addresses({"seeds", "entries"}, seeds,
            "control addresses of some entries, to find the others through");
}

void addLog(KeyTable &keys, LogLevel &level)
{
    keys.choice<LogLevel>({"log", "level"}, level,
            {{"debug", LogLevel::Debug}, {"info", LogLevel::Info}, {"warning", LogLevel::Warning},
                    {"error", LogLevel::Error}},
            "lowest severity of the events that are logged");
}

void addDrain(KeyTable &keys, domain::Duration &drainTime)
{
    keys.duration({"shutdown", "drain_ms"}, drainTime, DrainRange,
            "longest time that a stop waits for requests in progress");
}

void addBodyLimits(KeyTable &keys, domain::Bytes &maxBody, std::uint32_t &maxConnections)
{
    keys.bytes({"requests", "max_body_bytes"}, maxBody, BodyRange, "largest request body accepted");
    keys.integer({"requests", "max_connections"}, maxConnections, ConnectionRange, "connections",
            "most connections open at a time on one request listener");
}

void addFleet(KeyTable &keys, std::map<std::string, std::string> &regions,
        domain::SocketAddress &storeAddress)
{
    keys.pairs({"fleet", "regions", Required}, regions, "region of each data centre");
    keys.address({"store", "address", Required}, storeAddress,
            "address of the platform's metadata store");
}

void addEntryAddresses(KeyTable &keys, EntrySettings &settings)
{
    keys.address({"listen", "caller", Required}, settings.listenCaller,
            "listener for callers' requests, behind the load balancer");
    keys.address({"listen", "peer", Required}, settings.listenPeer,
            "listener for attempts forwarded by other entries");
    keys.address({"listen", "control", Required}, settings.listenControl,
            "listener for control messages of agents and entries");
    keys.address({"listen", "admin", Required}, settings.listenAdmin,
            "listener for the administration API");
    keys.address({"advertise", "peer"}, settings.advertisePeer,
            "peer address told to other processes; by default the listen address");
    keys.address({"advertise", "control"}, settings.advertiseControl,
            "control address told to other processes; by default the listen address");
    keys.host({"network", "source_host"}, settings.sourceHost,
            "local address of outgoing connections; by default the system's choice");
}

void addObjectives(KeyTable &keys, EntrySettings &settings)
{
    keys.ratio({"objectives", "availability"}, settings.availabilityObjective,
            "share of requests that are to be answered whole");
    keys.duration({"objectives", "first_byte_ms"}, settings.firstByteTarget, DeadlineRange,
            "time within which the first byte of an answer is to reach the caller");
    keys.ratio({"objectives", "first_byte_share"}, settings.firstByteObjective,
            "share of answers whose first byte is to be within first_byte_ms");
}

} // namespace

KeyTable entryKeys(EntrySettings &settings)
{
    KeyTable keys;
    keys.identifier({"entry", "id", Required}, settings.id, "name of this entry, unique");
    keys.identifier(
            {"entry", "data_centre", Required}, settings.dataCentre, "data centre of this VM");
    keys.identifier({"entry", "region", Required}, settings.region, "region of the data centre");
    keys.integer({"entry", "workers"}, settings.workers, WorkerRange, "threads", "worker threads");
    addEntryAddresses(keys, settings);
    keys.identifier({"origin", "region"}, settings.originRegion,
            "region of the weight store; a push then spreads its copies evenly over the links");
    addPlatform(keys, settings.platformAddress, settings.platformTimeout);
    addSeeds(keys, settings.seedEntries);
    keys.duration({"requests", "default_deadline_ms"}, settings.defaultDeadline, DeadlineRange,
            "deadline of a request that names none");
    keys.duration({"requests", "max_deadline_ms"}, settings.maxDeadline, DeadlineRange,
            "longest deadline that a caller may ask for");
    addBodyLimits(keys, settings.maxBody, settings.maxConnections);
    keys.integer({"requests", "retry_percent"}, settings.retryPercent, {0, 100}, "percent",
            "retries allowed per 100 first attempts");
    addDrain(keys, settings.drainTime);
    keys.digest({"admin", "token_sha256"}, settings.adminTokenDigest,
            "SHA-256 of a bearer token with all operator rights, to set up the first account");
    addObjectives(keys, settings);
    addLog(keys, settings.logLevel);
    return keys;
}

KeyTable agentKeys(AgentSettings &settings)
{
    KeyTable keys;
    keys.identifier({"agent", "id", Required}, settings.id, "name of this endpoint, unique");
    keys.identifier(
            {"agent", "data_centre", Required}, settings.dataCentre, "data centre of this VM");
    keys.identifier({"agent", "region", Required}, settings.region, "region of the data centre");
    keys.identifier(
            {"agent", "service", Required}, settings.service, "service that the endpoint offers");
    keys.integer({"agent", "workers"}, settings.workers, WorkerRange, "threads", "worker threads");
    keys.address({"listen", "request", Required}, settings.listenRequest,
            "listener for attempts from entries and for chunks");
    keys.address({"listen", "control", Required}, settings.listenControl,
            "listener for control messages of other agents");
    keys.address({"advertise", "request"}, settings.advertiseRequest,
            "request address told to other processes; by default the listen address");
    keys.address({"advertise", "control"}, settings.advertiseControl,
            "control address told to other processes; by default the listen address");
    keys.host({"network", "source_host"}, settings.sourceHost,
            "local address of outgoing connections; by default the system's choice");
    keys.address({"endpoint", "address", Required}, settings.endpointAddress,
            "address of the model engine or plain service on this VM");
    keys.choice<EndpointKind>({"endpoint", "kind", Required}, settings.endpointKind,
            {{"engine", EndpointKind::Engine}, {"plain", EndpointKind::Plain}},
            "whether the endpoint loads weights");
    keys.text({"endpoint", "admin_token"}, settings.endpointAdminToken,
            "bearer token for orders to an engine that checks who gives them");
    keys.address({"origin", "address"}, settings.originAddress,
            "address of the weight store's origin; required for engines");
    addPlatform(keys, settings.platformAddress, settings.platformTimeout);
    addSeeds(keys, settings.seedEntries);
    keys.bytes({"weights", "memory_bytes"}, settings.weightsMemory, MemoryRange,
            "memory for chunks of weights");
    addBodyLimits(keys, settings.maxBody, settings.maxConnections);
    addDrain(keys, settings.drainTime);
    addLog(keys, settings.logLevel);
    return keys;
}

KeyTable relayKeys(RelaySettings &settings)
{
    KeyTable keys;
    keys.identifier({"entry", "id", Required}, settings.id, "name of this entry, unique");
    keys.identifier(
            {"entry", "data_centre", Required}, settings.dataCentre, "data centre of this VM");
    addFleet(keys, settings.regions, settings.storeAddress);
    keys.address({"listen", "caller", Required}, settings.listenCaller,
            "listener for callers' requests, behind the load balancer");
    keys.address({"listen", "status", Required}, settings.listenStatus,
            "listener that tells whether this entry is ready");
    keys.address({"listen", "metrics", Required}, settings.listenMetrics,
            "listener for the metrics of this process");
    keys.address({"listen", "load", Required}, settings.listenLoad,
            "UDP socket for load reports of agents; the same port on every VM");
    keys.number({"bounds", "retry_ratio"}, settings.retryRatio, "repeats per request",
            "repeats that all entries together may send for each request");
    keys.number({"bounds", "retry_extra"}, settings.retryExtra, "repeats",
            "repeats in a window beside those");
    keys.number({"bounds", "retry_window_s"}, settings.retryWindowSeconds, "s",
            "window of the bound on repeats");
    keys.number({"bounds", "cold_overage"}, settings.coldOverage, "factor",
            "a cold endpoint bears its stated rate times this");
    keys.number({"bounds", "cold_slack"}, settings.coldSlack, "requests",
            "requests in a second that a cold endpoint bears beside those");
    keys.duration({"bounds", "weights_ms"}, settings.weightsBound, DeadlineRange,
            "time from the naming of a version of weights until no request begins on an older one");
    keys.duration({"bounds", "config_ms"}, settings.configBound, DeadlineRange,
            "time from the acknowledgement of a configuration until it is in force at every entry");
    keys.duration({"bounds", "drain_ms"}, settings.drainBound, DeadlineRange,
            "time from the notice of a leaving endpoint until no request reaches it");
    keys.duration({"bounds", "contact_ms"}, settings.contactTime, DeadlineRange,
            "time from the end of an outage until this VM counts as being in touch");
    keys.choice<bool>({"routing", "start_pace"}, settings.isStartPaced,
            {{"on", true}, {"off", false}},
            "slow start of endpoints that have started or recovered, where a cold rate is stated");
    keys.number({"shutdown", "stop_s"}, settings.stopSeconds, "s",
            "time from SIGTERM until the process is killed");
    keys.integer({"requests", "max_connections"}, settings.maxConnections, ConnectionRange,
            "connections", "most connections of callers open at a time");
    addLog(keys, settings.logLevel);
    return keys;
}

KeyTable relayAgentKeys(RelayAgentSettings &settings)
{
    KeyTable keys;
    keys.identifier({"agent", "id", Required}, settings.id, "name of this VM, unique");
    keys.identifier(
            {"agent", "data_centre", Required}, settings.dataCentre, "data centre of this VM");
    keys.identifier(
            {"agent", "service", Required}, settings.service, "service that the engine offers");
    addFleet(keys, settings.regions, settings.storeAddress);
    keys.address({"listen", "peers", Required}, settings.listenPeers,
            "listener for agents that fetch pieces of weights; the same port on every VM");
    keys.address({"listen", "metrics", Required}, settings.listenMetrics,
            "listener for the metrics of this process");
    keys.address({"listen", "load", Required}, settings.listenLoad,
            "UDP socket for subscriptions of entries; the same port on every VM");
    keys.address({"engine", "address", Required}, settings.engineAddress,
            "address of the model engine on this VM");
    keys.number({"link", "mbps"}, settings.linkMbps, "Mbit/s", "rate of this VM's link");
    keys.duration({"bounds", "weights_ms"}, settings.weightsBound, DeadlineRange,
            "time from the naming of a version of weights until every engine serves it");
    addLog(keys, settings.logLevel);
    return keys;
}

} // namespace oriolerill::settings::internal
