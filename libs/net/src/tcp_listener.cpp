#include <net/tcp_listener.hpp>

#include <chrono>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include <net/address.hpp>

namespace cuminledge::net {

namespace {

    using tcp = boost::asio::ip::tcp;

    constexpr std::chrono::milliseconds pauseAfterError { 50 };

    boost::system::error_code bindAndListen(tcp::acceptor& acceptor, const tcp::endpoint& endpoint)
    {
        boost::system::error_code problem;
        acceptor.open(endpoint.protocol(), problem);
        if (!problem) {
            acceptor.set_option(tcp::acceptor::reuse_address(true), problem);
        }
        if (!problem) {
            acceptor.bind(endpoint, problem);
        }
        if (!problem) {
            acceptor.listen(boost::asio::socket_base::max_listen_connections, problem);
        }
        return problem;
    }

} // namespace

class tcp_listener::impl : public std::enable_shared_from_this<tcp_listener::impl> {
public:
    impl(boost::asio::io_context& context, accept_handler onAccepted)
        : m_acceptor(context)
        , m_pause(context)
        , m_onAccepted(std::move(onAccepted))
    {
    }

    result<std::uint16_t> open(const std::string& address)
    {
        const auto endpoint = parseAddress(address, "listen");
        if (!endpoint) {
            return tl::unexpected<error>(endpoint.error());
        }
        const auto problem = bindAndListen(m_acceptor, *endpoint);
        if (problem) {
            return failure(error_code::Unavailable, problem.message(), "listen", address);
        }
        accept();
        return m_acceptor.local_endpoint().port();
    }

    void close()
    {
        m_closed = true;
        closeAcceptor();
    }

    std::size_t drain()
    {
        const auto taken = takeBacklog();
        closeAcceptor();
        return taken;
    }

private:
    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](auto problem, tcp::socket socket) {
            if (self->m_closed) {
                return;
            }
            if (!problem) {
                self->m_onAccepted(std::move(socket));
            }
            if (!self->m_acceptor.is_open()) {
                return;
            }
            if (problem) {
                self->acceptLater();
            } else {
                self->accept();
            }
        });
    }

    /// The kernel resets connections that are in the backlog when their listener closes.
    std::size_t takeBacklog()
    {
        std::size_t taken = 0;
        boost::system::error_code problem;
        m_acceptor.non_blocking(true, problem);
        while (!problem) {
            tcp::socket socket(m_acceptor.get_executor());
            m_acceptor.accept(socket, problem);
            if (!problem) {
                ++taken;
                m_onAccepted(std::move(socket));
            }
        }
        return taken;
    }

    void closeAcceptor()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        m_pause.cancel();
    }

    /// Out of file descriptors, mostly: accepting again at once would spin.
    void acceptLater()
    {
        m_pause.expires_after(pauseAfterError);
        m_pause.async_wait([self = shared_from_this()](auto cancelled) {
            if (!cancelled && self->m_acceptor.is_open()) {
                self->accept();
            }
        });
    }

    bool m_closed = false;
    tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_pause;
    accept_handler m_onAccepted;
};

tcp_listener::tcp_listener(boost::asio::io_context& context, accept_handler onAccepted)
    : m_impl(std::make_shared<impl>(context, std::move(onAccepted)))
{
}

tcp_listener::~tcp_listener()
{
    m_impl->close();
}

result<std::uint16_t> tcp_listener::open(const std::string& address)
{
    return m_impl->open(address);
}

void tcp_listener::close()
{
    m_impl->close();
}

std::size_t tcp_listener::drain()
{
    return m_impl->drain();
}

} // namespace cuminledge::net
