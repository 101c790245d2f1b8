#pragma once

#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace cuminledge {

/// What kind of failure an error reports. The names stand in refusals and logs (see toString()).
enum class error_code {
    InvalidArgument, ///< a field is missing, has the wrong type or is out of its range
    Unauthenticated, ///< no key, an unknown key or a withdrawn key
    PermissionDenied, ///< the key is valid, but not for this object or route
    NotFound,
    Conflict, ///< another value holds: same number, id or turn with other content
    OutOfOrder, ///< a turn that is not the next one of its program
    BudgetExceeded,
    RateLimited,
    TooLarge, ///< over a stated size limit
    Overloaded, ///< a bounded queue is full or a deadline cannot be met
    Quarantined, ///< the request ended several backend servers and is not run again
    Unavailable, ///< nobody can serve it now; sending it again later may help
    Timeout,
    NotLeader, ///< the replica asked does not lead the group
    Corrupt, ///< stored data fails its checksum
    Storage, ///< the disk refused or failed
    Protocol, ///< a peer sent something its protocol does not allow
    Internal,
    DiskFull ///< the disk has no space left; nothing was written, and the write may be tried again
};

/// @return the code's name in snake case, as it stands in refusals, e.g. "rate_limited".
const char* toString(error_code code);

/**
 * A failure, with the step and the peer at which it arose.
 *
 * @see result
 */
struct error {
    error_code code = error_code::Internal;
    std::string message; ///< one sentence for a person
    std::string step; ///< what was being done, e.g. "begin_turn"
    std::string peer; ///< the process or address involved; empty for the own process
};

/// Either a value or an error.
template <typename T>
using result = tl::expected<T, error>;

/// Makes the error side of a result: `return failure(error_code::NotFound, "no such program", "begin_turn");`
inline tl::unexpected<error> failure(error_code code, std::string message, std::string step, std::string peer = {})
{
    return tl::unexpected<error>(error { code, std::move(message), std::move(step), std::move(peer) });
}

/// @return one line: "step=… peer=… code=…: message".
std::string describe(const error& e);

} // namespace cuminledge
