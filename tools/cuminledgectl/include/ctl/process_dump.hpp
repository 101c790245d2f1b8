#pragma once

#include <chrono>
#include <string>

#include <base/error.hpp>

namespace cuminledge::ctl {

/// Fetches /debug/state from a process's admin listener. @return the JSON text.
result<std::string> fetchDump(const std::string& address, std::chrono::milliseconds timeout);

} // namespace cuminledge::ctl
