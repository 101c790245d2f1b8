#include <iostream>

#include <core/version.hpp>
#include <ctl/commands.hpp>

using namespace cuminledge;

int main(int argc, char** argv)
{
    const auto opts = ctl::readOptions(argc, argv);
    if (!opts) {
        std::cerr << "cuminledgectl: " << opts.error().message << "; see --help\n";
        return ctl::exitUsage;
    }
    if (opts->showHelp) {
        std::cout << ctl::helpText();
        return ctl::exitDone;
    }
    if (opts->showVersion) {
        std::cout << "cuminledgectl " << core::version() << '\n';
        return ctl::exitDone;
    }
    return ctl::runCommand(*opts, ctl::makeEnvironment(opts->timeout), std::cout, std::cerr);
}
