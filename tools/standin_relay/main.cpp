#include <iostream>

#include <boost/asio/io_context.hpp>

#include <standin_common/standin_program.hpp>
#include <standin_relay/relay_admin.hpp>

using namespace cuminledge;

int main(int argc, char** argv)
{
    const auto options = standin::readCommandLine(argc, argv, "standin_relay",
        "Forwards TCP connections, and on order stops forwarding without closing them.");
    if (!options) {
        return options.error();
    }
    auto settings = standin::readRelaySettings(options->settings);
    if (!settings) {
        constexpr int usageExitCode = 2;
        std::cerr << "standin_relay: " << describe(settings.error()) << '\n';
        return usageExitCode;
    }
    if (!options->listenAddress.empty()) {
        settings->listenAddress = options->listenAddress;
    }
    boost::asio::io_context context;
    standin::relay_admin admin(context, *settings);
    return standin::serve(context, settings->name,
        { [&] { return admin.listen(); }, [&] { admin.closeListener(); }, [] { return false; } });
}
