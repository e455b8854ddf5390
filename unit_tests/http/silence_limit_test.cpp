#include "http/silence_limit.hpp"

#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

int option_of(int socket, int level, int name)
{
    int value = 0;
    socklen_t size = sizeof value;
    REQUIRE(getsockopt(socket, level, name, &value, &size) == 0);
    return value;
}

} // namespace

TEST_CASE("both an idle connection and one with data to send are limited")
{
    const int tcp = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(tcp >= 0);
    limit_silence(tcp, 3s);
    CHECK(option_of(tcp, SOL_SOCKET, SO_KEEPALIVE) != 0);
    CHECK(option_of(tcp, IPPROTO_TCP, TCP_KEEPIDLE) == 1);
    CHECK(option_of(tcp, IPPROTO_TCP, TCP_KEEPINTVL) == 1);
    CHECK(option_of(tcp, IPPROTO_TCP, TCP_KEEPCNT) == 3);
    CHECK(option_of(tcp, IPPROTO_TCP, TCP_USER_TIMEOUT) == 3'000);
    close(tcp);
}
