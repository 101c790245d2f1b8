#pragma once

#include <memory>

#include <base/clock.hpp>
#include <base/error.hpp>
#include <host/external_interface.hpp>
#include <host/settings.hpp>

namespace cuminledge::host {

/**
 * One process of the system: binds a node to sockets, timers and the disk. Turns what happens into events, gives them
 * to the reducer one by one, and carries out the effects in order. All on one thread, but for the disk's.
 *
 *     monotonic_clock clock;
 *     process self(std::move(*loaded), clock);
 *     return self.run();
 */
class process {
public:
    /// SIGTERM, SIGINT and SIGHUP wait for run() from here on, in place of their default action.
    /// @param clock outlives the process.
    /// @param interface for a forwarding gateway, and for a controller with a control address; else unused.
    process(loaded_settings settings, const clock_source& clock, external_interface interface = {});
    ~process();

    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /**
     * Opens the listeners and the disk, and runs until the reducer stops the process. SIGTERM and SIGINT ask it to shut
     * down gracefully, a second SIGINT at once; a repeated SIGTERM changes nothing.
     *
     * @return the exit code: 0 after a graceful shutdown; 1 if it could not start (logged) or had to stop.
     */
    int run();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace cuminledge::host
