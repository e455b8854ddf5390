#pragma once

#include <atomic>
#include <thread>

namespace fireflysail
{

/// A server of bare sockets for faults that an HTTP library would not make.
class one_answer_server
{
public:
    enum class behaviour
    {
        /// Answers the first request of its life; reads every later one and
        /// closes the connection.
        answer_once,
        /// Sends an answer byte by byte, without end.
        trickle,
    };

    explicit one_answer_server(behaviour does = behaviour::answer_once);
    ~one_answer_server();

    int port() const;

    /// Requests read so far, on any connection.
    int requests() const;

    /// Whether the client closed the connection under a trickling answer.
    bool cut_off() const;

    void stop();

private:
    void run();
    void serve(int connection);
    void trickle(int connection);

    const behaviour does;
    int listener = -1;
    int bound_port = 0;
    std::atomic<int> request_count{0};
    std::atomic<bool> was_cut_off{false};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace fireflysail
