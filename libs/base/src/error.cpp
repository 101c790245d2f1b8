#include <base/error.hpp>

namespace cuminledge {

const char* toString(error_code code)
{
    switch (code) {
    case error_code::InvalidArgument:
        return "invalid_argument";
    case error_code::Unauthenticated:
        return "unauthenticated";
    case error_code::PermissionDenied:
        return "permission_denied";
    case error_code::NotFound:
        return "not_found";
    case error_code::Conflict:
        return "conflict";
    case error_code::OutOfOrder:
        return "out_of_order";
    case error_code::BudgetExceeded:
        return "budget_exceeded";
    case error_code::RateLimited:
        return "rate_limited";
    case error_code::TooLarge:
        return "too_large";
    case error_code::Overloaded:
        return "overloaded";
    case error_code::Quarantined:
        return "quarantined";
    case error_code::Unavailable:
        return "unavailable";
    case error_code::Timeout:
        return "timeout";
    case error_code::NotLeader:
        return "not_leader";
    case error_code::Corrupt:
        return "corrupt";
    case error_code::Storage:
        return "storage";
    case error_code::Protocol:
        return "protocol";
    case error_code::Internal:
        return "internal";
    case error_code::DiskFull:
        return "disk_full";
    }
    return "internal";
}

std::string describe(const error& e)
{
    std::string line;
    if (!e.step.empty()) {
        line += "step=" + e.step + " ";
    }
    if (!e.peer.empty()) {
        line += "peer=" + e.peer + " ";
    }
    line += "code=";
    line += toString(e.code);
    line += ": " + e.message;
    return line;
}

} // namespace cuminledge
