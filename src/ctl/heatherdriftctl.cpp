#include "ctl/ctl.h"

#include <csignal>
#include <iostream>

int main(int argc, char** argv)
{
    // The program has no handlers: the default action of other signals ends it, as intended.
    signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(heatherdrift::runCtl(arguments, { std::cout, std::cerr }));
}
