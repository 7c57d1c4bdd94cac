#include "host_setup_p.h"

#include <csignal>

namespace vanillalift::node {

void prepareHost()
{
    std::signal(SIGXFSZ, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace vanillalift::node
