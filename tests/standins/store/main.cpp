#include "standinstore.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(ip, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 0, "Port to listen on; 0 selects a free port");
DEFINE_uint64(seed, 1, "Seed of the random faults");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);

    const lagoonroute::StandInStore store({ FLAGS_ip, static_cast<std::uint16_t>(FLAGS_port) }, FLAGS_seed);
    std::cout << store.address().ip << ':' << store.address().port << std::endl;
    int signal = 0;
    sigwait(&stopSignals, &signal);
    return 0;
}
