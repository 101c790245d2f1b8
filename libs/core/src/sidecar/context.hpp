#pragma once

#include <core/sidecar/sidecar.hpp>

namespace cuminledge::core::sidecar {

/// What every step of the sidecar works on. Lives as long as one event is reduced.
struct context {
    sidecar_state& state;
    time_point now;
    std::mt19937_64& random;
    effects& out;
};

} // namespace cuminledge::core::sidecar
