#pragma once

#include "blackboard/fleet.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <thread>

namespace fireflysail
{

/// The platform's store on real connections, with answers that a test gives.
class scripted_store
{
public:
    /// The body of the answer to a call of this target. Called on threads of
    /// the connections.
    using script = std::function<std::string(const std::string& target)>;

    explicit scripted_store(script answer);
    ~scripted_store();

    scripted_store(const scripted_store&) = delete;
    scripted_store& operator=(const scripted_store&) = delete;

    endpoint address() const;

    /// No connection that is open now ever answers again; none is closed.
    void silence_open_connections();

    std::size_t connection_count() const;

    /// Named by all answers unless zero.
    std::atomic<std::uint64_t> era{0};

    /// Of all answers.
    std::atomic<unsigned> status{200};

private:
    struct connection
    {
        explicit connection(boost::asio::ip::tcp::socket accepted);

        boost::asio::ip::tcp::socket socket;
        bool is_silent = false;
        std::thread thread;
    };

    void accept_all();
    void serve(connection& served);

    const script answer;
    boost::asio::io_context io{1};
    boost::asio::ip::tcp::acceptor listener;
    mutable absl::Mutex mutex;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::list<connection> connections ABSL_GUARDED_BY(mutex);
    std::thread acceptor;
};

} // namespace fireflysail
