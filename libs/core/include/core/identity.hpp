#pragma once

#include <cstdint>
#include <string>

namespace cuminledge::core {

/// Who a process is and where it runs. The host fills it from the settings before the first event.
struct process_identity {
    std::string name; ///< unique in the fleet; other processes know it by this name in the hello
    std::string region;
    std::string failureDomain;
    std::uint64_t incarnation = 0; ///< higher than that of every earlier start of this process
};

} // namespace cuminledge::core
