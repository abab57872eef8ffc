#include "transport/nngcontrolserver.h"

#include "transport/internal/socketcloser.h"

#include <boost/asio/post.hpp>

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolerill::transport {

namespace {

using domain::Done;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;

// Maximum number of requests handled concurrently; further ones wait in the socket buffers.
constexpr int ContextCount = 32;

protocol::ControlReply malformedRequestReply()
{
    protocol::ControlReply reply;
    protocol::ControlError &error = *reply.mutable_error();
    error.set_kind(std::string(toString(ErrorKind::InvalidInput)));
    error.set_message("malformed control request");
    error.set_remedy("check that both processes run the same version");
    return reply;
}

} // namespace

class NngControlServer::Implementation
    : public std::enable_shared_from_this<NngControlServer::Implementation>
{
public:
    Implementation(boost::asio::any_io_executor executor, domain::SocketAddress listenAddress)
        : m_executor(std::move(executor))
        , m_listenAddress(std::move(listenAddress))
    {}
    ~Implementation()
    {
        for (const std::unique_ptr<Slot> &slot : m_slots)
            nng_aio_free(slot->aio);
    }
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    Expected<Done> start(Handler handler)
    {
        m_handler = std::move(handler);
        int code = nng_rep0_open(&m_socket);
        m_isOpen = code == 0;
        const std::string url = "tcp://" + m_listenAddress.toString();
        if (code == 0)
            code = nng_listen(m_socket, url.c_str(), nullptr, 0);
        if (code != 0) {
            return Error{ErrorKind::Unavailable,
                    "cannot listen on " + m_listenAddress.toString() + ": " + nng_strerror(code),
                    "choose a free address in the settings"};
        }
        for (int i = 0; i < ContextCount; ++i)
            addSlot();
        return Done{};
    }

    /// Ends the handling of requests; the socket that is to be closed, if it is open.
    std::optional<nng_socket> release()
    {
        if (!m_isOpen.exchange(false))
            return std::nullopt;
        return m_socket;
    }

private:
    enum class Step {
        Receiving,
        Handling,
        Sending,
    };

    struct Slot
    {
        Implementation *owner = nullptr;
        nng_ctx context = NNG_CTX_INITIALIZER;
        nng_aio *aio = nullptr;
        Step step = Step::Receiving;
    };

    void addSlot()
    {
        auto slot = std::make_unique<Slot>();
        slot->owner = this;
        if (nng_ctx_open(&slot->context, m_socket) != 0)
            return;
        if (nng_aio_alloc(&slot->aio, &Implementation::onProgress, slot.get()) != 0)
            return;
        nng_ctx_recv(slot->context, slot->aio);
        m_slots.push_back(std::move(slot));
    }

    static void onProgress(void *argument)
    {
        auto *const slot = static_cast<Slot *>(argument);
        const int code = nng_aio_result(slot->aio);
        if (code == NNG_ECLOSED || code == NNG_ECANCELED)
            return;
        if (slot->step == Step::Sending) {
            if (code != 0)
                nng_msg_free(nng_aio_get_msg(slot->aio));
            receive(slot);
            return;
        }
        if (code != 0) {
            receive(slot);
            return;
        }
        slot->step = Step::Handling;
        slot->owner->handle(slot, nng_aio_get_msg(slot->aio));
    }

    static void receive(Slot *slot)
    {
        slot->step = Step::Receiving;
        nng_ctx_recv(slot->context, slot->aio);
    }

    void handle(Slot *slot, nng_msg *message)
    {
        protocol::ControlRequest request;
        const bool isParsed = request.ParseFromArray(
                nng_msg_body(message), static_cast<int>(nng_msg_len(message)));
        nng_msg_free(message);
        if (!m_isOpen)
            return;
        if (!isParsed) {
            send(slot, malformedRequestReply());
            return;
        }
        boost::asio::post(
                m_executor, [self = weak_from_this(), slot, request = std::move(request)] {
                    if (const auto owner = self.lock())
                        owner->dispatch(slot, request);
                });
    }

    void dispatch(Slot *slot, const protocol::ControlRequest &request)
    {
        m_handler(request, [self = weak_from_this(), slot](const protocol::ControlReply &reply) {
            if (const auto owner = self.lock())
                owner->send(slot, reply);
        });
    }

    void send(Slot *slot, const protocol::ControlReply &reply)
    {
        if (!m_isOpen)
            return;
        nng_msg *message = nullptr;
        if (nng_msg_alloc(&message, reply.ByteSizeLong()) != 0) {
            receive(slot);
            return;
        }
        reply.SerializeToArray(nng_msg_body(message), static_cast<int>(nng_msg_len(message)));
        slot->step = Step::Sending;
        nng_aio_set_msg(slot->aio, message);
        nng_ctx_send(slot->context, slot->aio);
    }

    boost::asio::any_io_executor m_executor;
    domain::SocketAddress m_listenAddress;
    Handler m_handler;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    std::atomic<bool> m_isOpen = false;
    std::vector<std::unique_ptr<Slot>> m_slots;
};

NngControlServer::NngControlServer(
        boost::asio::any_io_executor executor, domain::SocketAddress listenAddress)
    : m_implementation(
            std::make_shared<Implementation>(std::move(executor), std::move(listenAddress)))
    , m_closer(std::make_unique<SocketCloser>())
{}

NngControlServer::~NngControlServer()
{
    stop();
}

Expected<Done> NngControlServer::start(Handler handler)
{
    return m_implementation->start(std::move(handler));
}

void NngControlServer::stop()
{
    // The callbacks of the socket use the implementation until it is closed.
    if (const auto socket = m_implementation->release())
        m_closer->close(*socket, domain::TimePoint::clock::now(), m_implementation);
    m_closer->waitUntilClosed();
}

} // namespace oriolerill::transport
