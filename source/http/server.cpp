#include "http/server.hpp"

#include "common/log.hpp"
#include "http/socket_stream.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace fireflysail
{

namespace
{

// The library listens with a backlog of 5, which overflows when callers
// reconnect together; listening again on the bound socket raises it.
constexpr int listen_backlog = 1024;

constexpr std::chrono::milliseconds next_request_wait{20};
constexpr int epoll_wait_ms = 1'000;

thread_local const socket_stream* current_stream = nullptr;

/// Names the stream that this thread serves.
class stream_scope
{
public:
    explicit stream_scope(const socket_stream& stream)
    {
        current_stream = &stream;
    }

    ~stream_scope()
    {
        current_stream = nullptr;
    }

    stream_scope(const stream_scope&) = delete;
    stream_scope& operator=(const stream_scope&) = delete;
};

} // namespace

/// Threads that run requests: one is added when none is free.
class http_server::request_threads final : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> task) override
    {
        const std::lock_guard lock{this->mutex};
        this->tasks.push_back(std::move(task));
        if (this->free_threads < this->tasks.size())
        {
            this->threads.emplace_back(
                [this]
                {
                    this->work();
                });
        }
        else
        {
            this->changed.notify_one();
        }
    }

    void shutdown() override
    {
        {
            const std::lock_guard lock{this->mutex};
            this->stopped = true;
        }
        this->changed.notify_all();
        for (auto& thread : this->threads)
        {
            thread.join();
        }
        this->threads.clear();
    }

private:
    void work()
    {
        std::unique_lock lock{this->mutex};
        while (true)
        {
            ++this->free_threads;
            this->changed.wait(
                lock,
                [this]
                {
                    return this->stopped || !this->tasks.empty();
                });
            --this->free_threads;
            if (this->tasks.empty())
            {
                return;
            }
            const auto task = std::move(this->tasks.front());
            this->tasks.pop_front();
            lock.unlock();
            task();
            lock.lock();
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> tasks;
    std::vector<std::thread> threads;
    std::size_t free_threads = 0;
    bool stopped = false;
};

/// Connections between two requests.
class http_server::idle_connections
{
public:
    using handler = std::function<void(int)>;

    idle_connections(
        std::chrono::milliseconds timeout, handler on_readable, handler on_idle)
        : timeout{timeout}
        , on_readable{std::move(on_readable)}
        , on_idle{std::move(on_idle)}
        , epoll{::epoll_create1(EPOLL_CLOEXEC)}
        , wake{::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)}
    {
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = this->wake;
        ::epoll_ctl(this->epoll, EPOLL_CTL_ADD, this->wake, &event);
        this->watcher = std::thread{[this]
                                    {
                                        this->watch();
                                    }};
    }

    ~idle_connections()
    {
        this->stop();
        ::close(this->wake);
        ::close(this->epoll);
    }

    void add(int socket)
    {
        const std::lock_guard lock{this->mutex};
        if (this->stopped)
        {
            this->on_idle(socket);
            return;
        }
        this->since[socket] = std::chrono::steady_clock::now();
        epoll_event event{};
        event.events = EPOLLIN | EPOLLONESHOT | EPOLLRDHUP;
        event.data.fd = socket;
        ::epoll_ctl(this->epoll, EPOLL_CTL_ADD, socket, &event);
    }

    void stop()
    {
        {
            const std::lock_guard lock{this->mutex};
            if (this->stopped)
            {
                return;
            }
            this->stopped = true;
        }
        const std::uint64_t one = 1;
        (void)!::write(this->wake, &one, sizeof one);
        this->watcher.join();
        for (const auto& [socket, time] : this->since)
        {
            this->on_idle(socket);
        }
        this->since.clear();
    }

private:
    void watch()
    {
        std::array<epoll_event, 64> events{};
        while (!this->is_stopped())
        {
            const int count = ::epoll_wait(
                this->epoll, events.data(), events.size(), epoll_wait_ms);
            for (int i = 0; i < count; ++i)
            {
                const int socket =
                    events.at(static_cast<std::size_t>(i)).data.fd;
                if (socket != this->wake && this->take(socket))
                {
                    this->on_readable(socket);
                }
            }
            this->close_expired();
        }
    }

    bool is_stopped()
    {
        const std::lock_guard lock{this->mutex};
        return this->stopped;
    }

    bool take(int socket)
    {
        const std::lock_guard lock{this->mutex};
        ::epoll_ctl(this->epoll, EPOLL_CTL_DEL, socket, nullptr);
        return this->since.erase(socket) > 0;
    }

    void close_expired()
    {
        const auto limit = std::chrono::steady_clock::now() - this->timeout;
        std::vector<int> expired;
        {
            const std::lock_guard lock{this->mutex};
            for (const auto& [socket, time] : this->since)
            {
                if (time < limit)
                {
                    expired.push_back(socket);
                }
            }
        }
        for (const int socket : expired)
        {
            if (this->take(socket))
            {
                this->on_idle(socket);
            }
        }
    }

    std::chrono::milliseconds timeout;
    handler on_readable;
    handler on_idle;
    int epoll;
    int wake;
    std::mutex mutex;
    std::map<int, std::chrono::steady_clock::time_point> since;
    bool stopped = false;
    std::thread watcher;
};

http_server::http_server(const http_server_options& options)
    : options{options}
{
    this->set_tcp_nodelay(true);
    this->set_payload_max_length(options.max_body_bytes);
    this->new_task_queue = [this]
    {
        this->threads = new request_threads;
        return this->threads;
    };
    this->idle = std::make_unique<idle_connections>(
        options.idle_timeout,
        [this](int socket)
        {
            this->threads->enqueue(
                [this, socket]
                {
                    this->serve(socket);
                });
        },
        [this](int socket)
        {
            this->close_connection(socket);
        });
}

http_server::~http_server()
{
    this->shut_down();
}

bool http_server::bind(const std::string& host, int port)
{
    if (port == 0)
    {
        this->bound_port = this->bind_to_any_port(host);
        if (this->bound_port <= 0)
        {
            return false;
        }
    }
    else
    {
        if (!this->bind_to_port(host, port))
        {
            return false;
        }
        this->bound_port = port;
    }
    return ::listen(this->svr_sock_, listen_backlog) == 0;
}

int http_server::port() const
{
    return this->bound_port;
}

void http_server::start()
{
    this->acceptor = std::thread{[this]
                                 {
                                     this->listen_after_bind();
                                 }};
    while (!this->is_running())
    {
        std::this_thread::yield();
    }
}

void http_server::shut_down()
{
    if (this->stopping.exchange(true))
    {
        return;
    }
    // The idle connections go first: they may still hand requests to threads.
    this->idle->stop();
    this->stop();
    if (this->acceptor.joinable())
    {
        this->acceptor.join();
    }
}

std::size_t http_server::connections() const
{
    return this->open_connections.load(std::memory_order_relaxed);
}

std::size_t http_server::active_requests() const
{
    return this->active.load(std::memory_order_relaxed);
}

bool http_server::caller_connected()
{
    return current_stream == nullptr || current_stream->is_writable();
}

bool http_server::process_and_close_socket(socket_t socket)
{
    const auto open =
        this->open_connections.fetch_add(1, std::memory_order_relaxed);
    if (open >= this->options.max_connections)
    {
        this->close_connection(socket);
        return false;
    }
    this->serve(socket);
    return true;
}

void http_server::serve(int socket)
{
    socket_stream stream{
        socket, this->options.read_timeout, this->options.write_timeout};
    const stream_scope scope{stream};
    bool closed = false;
    while (!closed)
    {
        if (!stream.has_buffered() && !wait_readable(socket, next_request_wait))
        {
            this->idle->add(socket);
            return;
        }
        const bool last = this->stopping.load(std::memory_order_relaxed);
        this->active.fetch_add(1, std::memory_order_relaxed);
        const bool served =
            this->process_request(stream, last, closed, nullptr);
        this->active.fetch_sub(1, std::memory_order_relaxed);
        closed = closed || last || !served;
    }
    this->close_connection(socket);
}

void http_server::close_connection(int socket)
{
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    this->open_connections.fetch_sub(1, std::memory_order_relaxed);
}

} // namespace fireflysail
