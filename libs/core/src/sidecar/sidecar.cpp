#include <core/sidecar/sidecar.hpp>

namespace cuminledge::core::sidecar {

void reduceSidecar(sidecar_state& state, const event& e, time_point /*now*/, std::mt19937_64& /*random*/, effects& out)
{
    if (std::holds_alternative<process_started>(e)) {
        state.controllers.controllers = state.settings.controllers;
        controller_client::start(state.controllers, out);
    }
}

} // namespace cuminledge::core::sidecar
