#include <ctl/output.hpp>

#include <algorithm>
#include <vector>

#include <fmt/format.h>

#include <base/json.hpp>

namespace cuminledge::ctl {

namespace {

    std::string formatCell(const Json::Value& value)
    {
        if (value.isString()) {
            return value.asString().empty() ? "-" : value.asString();
        }
        if (value.isBool()) {
            return value.asBool() ? "yes" : "no";
        }
        if (!value.isArray()) {
            return value.isNull() ? "-" : writeJson(value);
        }
        std::string joined;
        for (const auto& element : value) {
            joined += (joined.empty() ? "" : ",") + formatCell(element);
        }
        return joined.empty() ? "-" : joined;
    }

    bool isTable(const Json::Value& value)
    {
        return value.isArray() && !value.empty()
            && std::all_of(value.begin(), value.end(), [](const Json::Value& row) { return row.isObject(); });
    }

    std::string formatRow(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths)
    {
        std::string line;
        for (std::size_t i = 0; i < cells.size(); ++i) {
            line += fmt::format("{:<{}}", cells[i], i + 1 < cells.size() ? widths[i] + 2 : 0);
        }
        return line + "\n";
    }

    std::string formatRows(const Json::Value& rows)
    {
        const auto names = rows[0].getMemberNames();
        std::vector<std::vector<std::string>> lines = { names };
        for (const auto& row : rows) {
            std::vector<std::string> cells;
            for (const auto& name : names) {
                cells.push_back(formatCell(row[name]));
            }
            lines.push_back(std::move(cells));
        }
        std::vector<std::size_t> widths(names.size());
        for (const auto& line : lines) {
            for (std::size_t i = 0; i < line.size(); ++i) {
                widths[i] = std::max(widths[i], line[i].size());
            }
        }
        std::string text;
        for (const auto& line : lines) {
            text += formatRow(line, widths);
        }
        return text;
    }

    std::string formatObject(const Json::Value& object)
    {
        std::string text;
        std::string tables;
        for (const auto& name : object.getMemberNames()) {
            if (isTable(object[name])) {
                tables += formatRows(object[name]);
            } else {
                text += fmt::format("{:<20} {}\n", name, formatCell(object[name]));
            }
        }
        return text + tables;
    }

} // namespace

std::string formatTable(const Json::Value& value)
{
    if (value.isObject()) {
        return formatObject(value);
    }
    return isTable(value) ? formatRows(value) : formatCell(value) + "\n";
}

} // namespace cuminledge::ctl
