#include <wire/call_state_text.hpp>

namespace cuminledge::wire {

const char* toString(call_state state)
{
    switch (state) {
    case call_state::Recorded:
        return "recorded";
    case call_state::Dispatched:
        return "dispatched";
    case call_state::Done:
        return "done";
    case call_state::NotRun:
        return "not_run";
    case call_state::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace cuminledge::wire
