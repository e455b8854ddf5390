#include "ledger/ledger_ports.hpp"

#include <thread>

namespace fireflysail
{

void thread_sleeper::wait(duration time)
{
    std::this_thread::sleep_for(time);
}

} // namespace fireflysail
