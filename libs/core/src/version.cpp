#include <core/version.hpp>

namespace cuminledge::core {

const char* version()
{
    return CUMINLEDGE_VERSION;
}

} // namespace cuminledge::core
