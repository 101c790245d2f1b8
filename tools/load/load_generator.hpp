#pragma once

#include <memory>

#include <base/clock.hpp>

#include "load_report.hpp"
#include "load_settings.hpp"

namespace cuminledge::load {

/**
 * Runs programs against gateways, or calls against model engines, and measures them.
 *
 *     load_generator generator(settings, clock);
 *     auto report = generator.run();
 */
class load_generator {
public:
    load_generator(load_settings settings, const clock_source& clock);
    ~load_generator();

    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;

    /// Blocks until the run is over.
    load_report run();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace cuminledge::load
