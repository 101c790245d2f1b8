#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include <base/error.hpp>

namespace cuminledge {

/// A fault found in a JSON document: where it is, and what was expected there.
struct json_fault {
    std::string path; ///< e.g. "$.client_accounts[2].rate_per_second"
    std::string message; ///< e.g. "expected a number from 0 to 1000000, got a text"
};

constexpr std::size_t maxJsonBytes = 16U << 20U;
constexpr int maxJsonDepth = 64;

/**
 * Reads a JSON text strictly: no comments, no duplicate keys, nothing after the value.
 *
 * @param text at most maxJsonBytes.
 * @param step what the error names as its step.
 */
result<Json::Value> parseJson(std::string_view text, const std::string& step);

/// @return the value on one line, with no spaces.
std::string writeJson(const Json::Value& value);

/**
 * Reads the members of one JSON object and collects every fault, rather than stopping at the first.
 * Each read names its member; finish() reports the members that nothing asked for.
 *
 *     std::vector<json_fault> faults;
 *     json_object_reader reader(document, "$", faults);
 *     auto name = reader.string("name", 1, 64);
 *     auto port = reader.integer("port", 1, 65535, 8080);
 *     reader.finish();
 *
 * A read whose member is missing or wrong adds a fault and returns the fallback.
 */
class json_object_reader {
public:
    json_object_reader(const Json::Value& object, std::string path, std::vector<json_fault>& faults);

    /// A required text. @param minimum, maximum length in bytes.
    std::string string(const std::string& key, std::size_t minimum, std::size_t maximum);
    std::string string(const std::string& key, std::size_t minimum, std::size_t maximum, const std::string& fallback);

    /// A required whole number within [minimum, maximum].
    std::int64_t integer(const std::string& key, std::int64_t minimum, std::int64_t maximum);
    std::int64_t integer(const std::string& key, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback);

    /// A required number within [minimum, maximum].
    double number(const std::string& key, double minimum, double maximum);
    double number(const std::string& key, double minimum, double maximum, double fallback);

    bool boolean(const std::string& key, bool fallback);

    /// A time span given as a whole number of milliseconds. @param key ends in "_ms".
    std::chrono::milliseconds milliseconds(const std::string& key, std::chrono::milliseconds minimum,
        std::chrono::milliseconds maximum, std::chrono::milliseconds fallback);

    /// A list of texts. Missing: empty.
    std::vector<std::string> strings(const std::string& key, std::size_t maximumCount, std::size_t maximumLength);

    /// Calls `visit(element reader)` for each object of a list. Missing: not called.
    void objects(const std::string& key, std::size_t maximumCount, const std::function<void(json_object_reader&)>& visit);

    /// Calls `visit(reader)` for an object member, if it is there.
    void object(const std::string& key, const std::function<void(json_object_reader&)>& visit);

    /// @return whether the member is there and is not null.
    [[nodiscard]] bool has(const std::string& key) const;

    /// @return the member as it is, or null; counts as read.
    const Json::Value& raw(const std::string& key);

    /// Adds a fault at a member of this object (or at the object itself where the key is empty).
    void fault(const std::string& key, std::string message);

    /// Members that nothing asks for are no fault: the document comes from a newer writer.
    void allowUnknown() { m_allowsUnknown = true; }

    /// Reports members that nothing asked for. Call once, last.
    void finish();

    [[nodiscard]] const std::string& path() const { return m_path; }

private:
    const Json::Value* find(const std::string& key, bool required, const std::string& expected);
    [[nodiscard]] std::string pathOf(const std::string& key) const;

    const Json::Value& m_object;
    std::string m_path;
    std::vector<json_fault>& m_faults;
    std::set<std::string> m_known;
    bool m_allowsUnknown = false;
};

/// @return all faults in one text, a line each: "PATH: MESSAGE".
std::string describe(const std::vector<json_fault>& faults);

} // namespace cuminledge
