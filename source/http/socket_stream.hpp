#pragma once

#include <httplib.h>

#include <chrono>
#include <string>
#include <vector>

namespace fireflysail
{

/// Stream over an accepted socket that waits with poll(2), so that it works
/// with descriptors of any number.
class socket_stream final : public httplib::Stream
{
public:
    socket_stream(
        int socket,
        std::chrono::milliseconds read_timeout,
        std::chrono::milliseconds write_timeout);

    bool is_readable() const override;

    /// False once the other side has closed its end.
    bool is_writable() const override;

    ssize_t read(char* data, size_t size) override;
    ssize_t write(const char* data, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    int socket() const override;

    /// True when bytes that were received have not been read yet.
    bool has_buffered() const;

private:
    int descriptor;
    std::chrono::milliseconds read_timeout;
    std::chrono::milliseconds write_timeout;
    std::vector<char> buffer;
    std::size_t buffer_begin = 0;
    std::size_t buffer_end = 0;
};

/// Waits until `socket` can be read; false when it cannot by the timeout.
bool wait_readable(int socket, std::chrono::milliseconds timeout);

} // namespace fireflysail
