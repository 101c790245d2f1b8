#include "rate.hpp"

#include "attempts.hpp"
#include "service_calls.hpp"
#include "turns.hpp"

namespace cuminledge::core::gateway {

namespace {

    void goOn(context& c, call& subject)
    {
        subject.ownAttempt = c.state.identity.name + "." + randomId(c.random);
        if (subject.kind == call_kind::Service && !subject.repeatable) {
            recordCall(c, subject);
        } else if (subject.turn > 0) {
            beginTurn(c, subject);
        } else {
            startAttempt(c, subject);
        }
    }

} // namespace

void requestRate(context& c, call& subject)
{
    goOn(c, subject);
}

} // namespace cuminledge::core::gateway
