#include <iostream>

#include <boost/asio/io_context.hpp>

#include <base/clock.hpp>
#include <standin_common/standin_program.hpp>
#include <standin_engine/engine.hpp>

using namespace cuminledge;

int main(int argc, char** argv)
{
    const auto options = standin::readCommandLine(argc, argv, "standin_engine",
        "A stand-in for a model engine: continuous batching, a prefix cache, and faults on request.");
    if (!options) {
        return options.error();
    }
    auto settings = standin::readEngineSettings(options->settings);
    if (!settings) {
        constexpr int usageExitCode = 2;
        std::cerr << "standin_engine: " << describe(settings.error()) << '\n';
        return usageExitCode;
    }
    if (!options->listenAddress.empty()) {
        settings->listenAddress = options->listenAddress;
    }
    const monotonic_clock clock;
    boost::asio::io_context context;
    standin::engine engine(context, clock, *settings, standin::makeIncarnation());
    return standin::serve(context, settings->name,
        { [&] { return engine.listen(); }, [&] { engine.closeListener(); }, [&] { return engine.busy(); } });
}
