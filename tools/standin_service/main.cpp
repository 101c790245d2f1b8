#include <iostream>

#include <boost/asio/io_context.hpp>

#include <standin_common/standin_program.hpp>
#include <standin_service/service.hpp>

using namespace cuminledge;

int main(int argc, char** argv)
{
    const auto options = standin::readCommandLine(argc, argv, "standin_service",
        "A stand-in for a plain tool service: executes every call it gets, and counts them.");
    if (!options) {
        return options.error();
    }
    auto settings = standin::readServiceSettings(options->settings);
    if (!settings) {
        constexpr int usageExitCode = 2;
        std::cerr << "standin_service: " << describe(settings.error()) << '\n';
        return usageExitCode;
    }
    if (!options->listenAddress.empty()) {
        settings->listenAddress = options->listenAddress;
    }
    boost::asio::io_context context;
    standin::service service(context, *settings, standin::makeIncarnation());
    return standin::serve(context, settings->name,
        { [&] { return service.listen(); }, [&] { service.closeListener(); }, [&] { return service.busy(); } });
}
