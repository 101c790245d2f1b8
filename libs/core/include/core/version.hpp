#pragma once

namespace cuminledge::core {

/// @return the version of the programs, e.g. "0.1.0".
const char* version();

} // namespace cuminledge::core
