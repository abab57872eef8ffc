#include "transport/nngcontrolclient.h"

#include "transport/internal/socketcloser.h"

#include <boost/asio/post.hpp>

#include <nng/nng.h>
#include <nng/protocol/reqrep0/req.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>

namespace oriolerill::transport {

namespace {

using domain::Error;
using domain::ErrorKind;
using domain::Expected;

// A socket whose request has timed out stays open for the late reply, which would else arrive while
// its connection is being closed (see SocketCloser). Peers reply within milliseconds, or after the
// fault that delayed the reply.
constexpr auto LateReplyTime = std::chrono::seconds(2);

/// An nng request socket to one peer; closed some time after the last pending request is done.
class PeerSocket
{
public:
    PeerSocket(const domain::SocketAddress &peer, const std::string &sourceHost,
            std::shared_ptr<SocketCloser> closer)
        : m_closer(std::move(closer))
    {
        if (nng_req0_open(&m_socket) != 0)
            return;
        m_isOpen = true;
        // A timed resend would deliver a request again while the peer is still handling it.
        nng_socket_set_ms(m_socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
        constexpr nng_duration MinReconnectDelayMs = 20;
        constexpr nng_duration MaxReconnectDelayMs = 200;
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, MinReconnectDelayMs);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, MaxReconnectDelayMs);
        const std::string source = sourceHost.empty() ? std::string() : sourceHost + ';';
        const std::string url = "tcp://" + source + peer.toString();
        nng_dial(m_socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }
    ~PeerSocket()
    {
        if (m_isOpen)
            m_closer->close(m_socket, domain::TimePoint::clock::now() + LateReplyTime);
    }
    PeerSocket(const PeerSocket &) = delete;
    PeerSocket &operator=(const PeerSocket &) = delete;

    nng_socket handle() const { return m_socket; }

private:
    std::shared_ptr<SocketCloser> m_closer;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    bool m_isOpen = false;
};

} // namespace

class NngControlClient::Implementation
    : public std::enable_shared_from_this<NngControlClient::Implementation>
{
public:
    Implementation(boost::asio::any_io_executor executor, std::string sourceHost)
        : m_executor(std::move(executor))
        , m_sourceHost(std::move(sourceHost))
    {}

    void request(const domain::SocketAddress &peer, const protocol::ControlRequest &message,
            domain::TimePoint deadline, Callback callback);

private:
    struct Pending
    {
        std::shared_ptr<Implementation> owner;
        domain::SocketAddress peer;
        std::shared_ptr<PeerSocket> socket;
        Callback callback;
        domain::TimePoint deadline;
        nng_ctx context = NNG_CTX_INITIALIZER;
        nng_aio *aio = nullptr;
        bool isSent = false;
    };

    static void onProgress(void *argument);
    static void finish(Pending *pending, Expected<protocol::ControlReply> result);

    std::shared_ptr<PeerSocket> socketFor(const domain::SocketAddress &peer);
    void discard(const domain::SocketAddress &peer, const std::shared_ptr<PeerSocket> &socket);

    boost::asio::any_io_executor m_executor;
    std::string m_sourceHost;
    std::shared_ptr<SocketCloser> m_closer = std::make_shared<SocketCloser>();
    std::mutex m_mutex;
    std::map<domain::SocketAddress, std::shared_ptr<PeerSocket>> m_sockets;
};

namespace {

nng_duration millisecondsUntil(domain::TimePoint deadline)
{
    using std::chrono::milliseconds;
    const auto left = std::chrono::ceil<milliseconds>(deadline - domain::TimePoint::clock::now());
    return static_cast<nng_duration>(std::max<std::int64_t>(left.count(), 1));
}

Error connectionError(int code, const domain::SocketAddress &peer)
{
    if (code == NNG_ETIMEDOUT) {
        return Error{ErrorKind::Timeout, "no control reply from " + peer.toString(),
                "check that the process at this address runs and can be reached"};
    }
    return Error{ErrorKind::Unavailable,
            "control connection to " + peer.toString() + " failed: " + nng_strerror(code),
            "check that the process at this address runs and can be reached"};
}

Expected<protocol::ControlReply> parseReply(nng_msg *message, const domain::SocketAddress &peer)
{
    protocol::ControlReply reply;
    const bool isParsed
            = reply.ParseFromArray(nng_msg_body(message), static_cast<int>(nng_msg_len(message)));
    nng_msg_free(message);
    if (!isParsed) {
        return Error{ErrorKind::Corrupted, "malformed control reply from " + peer.toString(),
                "check that both processes run the same version"};
    }
    return reply;
}

} // namespace

std::shared_ptr<PeerSocket> NngControlClient::Implementation::socketFor(
        const domain::SocketAddress &peer)
{
    const std::scoped_lock lock(m_mutex);
    std::shared_ptr<PeerSocket> &socket = m_sockets[peer];
    if (!socket)
        socket = std::make_shared<PeerSocket>(peer, m_sourceHost, m_closer);
    return socket;
}

// A connection whose packets are lost delivers no reply and does not fail either, so the socket is
// replaced after a missed deadline. The new connection uses another source port.
void NngControlClient::Implementation::discard(
        const domain::SocketAddress &peer, const std::shared_ptr<PeerSocket> &socket)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_sockets.find(peer);
    if (found != m_sockets.end() && found->second == socket)
        m_sockets.erase(found);
}

void NngControlClient::Implementation::request(const domain::SocketAddress &peer,
        const protocol::ControlRequest &message, domain::TimePoint deadline, Callback callback)
{
    auto pending = std::make_unique<Pending>();
    pending->owner = shared_from_this();
    pending->peer = peer;
    pending->socket = socketFor(peer);
    pending->callback = std::move(callback);
    pending->deadline = deadline;

    int code = nng_ctx_open(&pending->context, pending->socket->handle());
    if (code == 0)
        code = nng_aio_alloc(&pending->aio, &Implementation::onProgress, pending.get());
    nng_msg *body = nullptr;
    if (code == 0)
        code = nng_msg_alloc(&body, message.ByteSizeLong());
    if (code != 0) {
        finish(pending.release(), connectionError(code, peer));
        return;
    }
    message.SerializeToArray(nng_msg_body(body), static_cast<int>(nng_msg_len(body)));
    nng_aio_set_msg(pending->aio, body);
    nng_aio_set_timeout(pending->aio, millisecondsUntil(deadline));
    Pending *const raw = pending.release();
    nng_ctx_send(raw->context, raw->aio);
}

void NngControlClient::Implementation::onProgress(void *argument)
{
    auto *const pending = static_cast<Pending *>(argument);
    const int code = nng_aio_result(pending->aio);
    if (code != 0) {
        if (!pending->isSent)
            nng_msg_free(nng_aio_get_msg(pending->aio));
        pending->owner->discard(pending->peer, pending->socket);
        finish(pending, connectionError(code, pending->peer));
        return;
    }
    if (!pending->isSent) {
        pending->isSent = true;
        nng_aio_set_timeout(pending->aio, millisecondsUntil(pending->deadline));
        nng_ctx_recv(pending->context, pending->aio);
        return;
    }
    finish(pending, parseReply(nng_aio_get_msg(pending->aio), pending->peer));
}

// nng forbids freeing an aio inside its own callback, so it is freed on the worker pool.
void NngControlClient::Implementation::finish(
        Pending *pending, Expected<protocol::ControlReply> result)
{
    const boost::asio::any_io_executor executor = pending->owner->m_executor;
    boost::asio::post(executor, [pending, result = std::move(result)]() mutable {
        const std::unique_ptr<Pending> owned(pending);
        if (owned->aio != nullptr)
            nng_aio_free(owned->aio);
        nng_ctx_close(owned->context);
        owned->socket.reset();
        owned->callback(std::move(result));
    });
}

NngControlClient::NngControlClient(boost::asio::any_io_executor executor, std::string sourceHost)
    : m_implementation(std::make_shared<Implementation>(std::move(executor), std::move(sourceHost)))
{}

NngControlClient::~NngControlClient() = default;

void NngControlClient::request(const domain::SocketAddress &peer,
        const protocol::ControlRequest &message, domain::TimePoint deadline, Callback callback)
{
    m_implementation->request(peer, message, deadline, std::move(callback));
}

} // namespace oriolerill::transport
