#pragma once

#include <string>

#include <json/value.h>

namespace cuminledge::ctl {

/// Lays a result out for a terminal: an object as lines of name and value, a list of objects as a table.
std::string formatTable(const Json::Value& value);

} // namespace cuminledge::ctl
