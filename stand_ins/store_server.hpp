#pragma once

#include "store_model.hpp"

#include <memory>

namespace fireflysail
{

/// Serves a store_model over HTTP on 127.0.0.1, as docs/protocols/store.md
/// says.
class store_server
{
public:
    /// Port 0 takes any free one.
    explicit store_server(int port);
    ~store_server();

    store_server(const store_server&) = delete;
    store_server& operator=(const store_server&) = delete;

    /// Begins to serve on a thread of its own; false if the port is taken.
    bool start();

    /// Ends waiting watches and open connections, then returns.
    void stop();

    /// The port served, once started.
    int port() const;

    store_model& model();

private:
    class implementation;

    std::unique_ptr<implementation> self;
};

} // namespace fireflysail
