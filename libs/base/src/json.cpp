#include <base/json.hpp>

#include <cmath>
#include <memory>
#include <sstream>

#include <fmt/format.h>
#include <json/reader.h>
#include <json/writer.h>

namespace cuminledge {

namespace {

    const char* kindOf(const Json::Value& value)
    {
        switch (value.type()) {
        case Json::nullValue:
            return "null";
        case Json::intValue:
        case Json::uintValue:
            return "a whole number";
        case Json::realValue:
            return "a number";
        case Json::stringValue:
            return "a text";
        case Json::booleanValue:
            return "a boolean";
        case Json::arrayValue:
            return "a list";
        case Json::objectValue:
            return "an object";
        }
        return "something else";
    }

    std::string got(const std::string& expected, const Json::Value& value)
    {
        return "expected " + expected + ", got " + kindOf(value);
    }

    std::string textExpectation(std::size_t minimum, std::size_t maximum)
    {
        return fmt::format("a text of {} to {} bytes", minimum, maximum);
    }

    /// jsoncpp's strict mode still passes over some comments. Outside texts, JSON has no use for a slash.
    bool hasSlashOutsideTexts(std::string_view text)
    {
        bool inText = false;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (inText && text[i] == '\\') {
                ++i;
            } else if (text[i] == '"') {
                inText = !inText;
            } else if (!inText && text[i] == '/') {
                return true;
            }
        }
        return false;
    }

    std::unique_ptr<Json::CharReader> makeReader()
    {
        Json::CharReaderBuilder builder;
        Json::CharReaderBuilder::strictMode(&builder.settings_);
        builder["strictRoot"] = false;
        builder["stackLimit"] = maxJsonDepth;
        return std::unique_ptr<Json::CharReader>(builder.newCharReader());
    }

    std::unique_ptr<Json::StreamWriter> makeWriter()
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        builder["emitUTF8"] = true;
        return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
    }

} // namespace

result<Json::Value> parseJson(std::string_view text, const std::string& step)
{
    if (text.size() > maxJsonBytes) {
        return failure(error_code::TooLarge, fmt::format("the JSON text is over {} bytes", maxJsonBytes), step);
    }
    if (hasSlashOutsideTexts(text)) {
        return failure(error_code::InvalidArgument, "not valid JSON: comments are not allowed", step);
    }
    // Making a reader costs more than reading a small text.
    thread_local const std::unique_ptr<Json::CharReader> reader = makeReader();
    Json::Value value;
    std::string errors;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
            return failure(error_code::InvalidArgument, "not valid JSON: " + errors, step);
        }
    } catch (const std::exception& e) {
        // jsoncpp reports nesting past its limit by an exception.
        return failure(error_code::InvalidArgument, std::string("not valid JSON: ") + e.what(), step);
    }
    return value;
}

std::string writeJson(const Json::Value& value)
{
    thread_local const std::unique_ptr<Json::StreamWriter> writer = makeWriter();
    std::ostringstream text;
    writer->write(value, &text);
    return text.str();
}

json_object_reader::json_object_reader(const Json::Value& object, std::string path, std::vector<json_fault>& faults)
    : m_object(object)
    , m_path(std::move(path))
    , m_faults(faults)
{
    if (!m_object.isObject()) {
        fault("", got("an object", m_object));
    }
}

std::string json_object_reader::pathOf(const std::string& key) const
{
    return key.empty() ? m_path : m_path + "." + key;
}

void json_object_reader::fault(const std::string& key, std::string message)
{
    m_faults.push_back({ pathOf(key), std::move(message) });
}

bool json_object_reader::has(const std::string& key) const
{
    return m_object.isObject() && m_object.isMember(key) && !m_object[key].isNull();
}

const Json::Value& json_object_reader::raw(const std::string& key)
{
    m_known.insert(key);
    return has(key) ? m_object[key] : Json::Value::nullSingleton();
}

const Json::Value* json_object_reader::find(const std::string& key, bool required, const std::string& expected)
{
    m_known.insert(key);
    if (has(key)) {
        return &m_object[key];
    }
    if (required) {
        fault(key, "missing: expected " + expected);
    }
    return nullptr;
}

std::string json_object_reader::string(const std::string& key, std::size_t minimum, std::size_t maximum)
{
    const auto expected = textExpectation(minimum, maximum);
    find(key, true, expected);
    return string(key, minimum, maximum, "");
}

std::string json_object_reader::string(
    const std::string& key, std::size_t minimum, std::size_t maximum, const std::string& fallback)
{
    const auto expected = textExpectation(minimum, maximum);
    const auto* value = find(key, false, expected);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->isString()) {
        fault(key, got(expected, *value));
        return fallback;
    }
    auto text = value->asString();
    if (text.size() < minimum || text.size() > maximum) {
        fault(key, fmt::format("expected {}, got {} bytes", expected, text.size()));
        return fallback;
    }
    return text;
}

std::int64_t json_object_reader::integer(const std::string& key, std::int64_t minimum, std::int64_t maximum)
{
    find(key, true, fmt::format("a whole number from {} to {}", minimum, maximum));
    return integer(key, minimum, maximum, minimum);
}

std::int64_t json_object_reader::integer(
    const std::string& key, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
{
    const auto expected = fmt::format("a whole number from {} to {}", minimum, maximum);
    const auto* value = find(key, false, expected);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->isInt64() || value->type() == Json::realValue) {
        fault(key, got(expected, *value));
        return fallback;
    }
    const auto number = value->asInt64();
    if (number < minimum || number > maximum) {
        fault(key, fmt::format("expected {}, got {}", expected, number));
        return fallback;
    }
    return number;
}

double json_object_reader::number(const std::string& key, double minimum, double maximum)
{
    find(key, true, fmt::format("a number from {} to {}", minimum, maximum));
    return number(key, minimum, maximum, minimum);
}

double json_object_reader::number(const std::string& key, double minimum, double maximum, double fallback)
{
    const auto expected = fmt::format("a number from {} to {}", minimum, maximum);
    const auto* value = find(key, false, expected);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->isNumeric()) {
        fault(key, got(expected, *value));
        return fallback;
    }
    const auto number = value->asDouble();
    if (!std::isfinite(number) || number < minimum || number > maximum) {
        fault(key, fmt::format("expected {}, got {}", expected, number));
        return fallback;
    }
    return number;
}

bool json_object_reader::boolean(const std::string& key, bool fallback)
{
    const auto* value = find(key, false, "a boolean");
    if (value == nullptr) {
        return fallback;
    }
    if (!value->isBool()) {
        fault(key, got("a boolean", *value));
        return fallback;
    }
    return value->asBool();
}

std::chrono::milliseconds json_object_reader::milliseconds(const std::string& key, std::chrono::milliseconds minimum,
    std::chrono::milliseconds maximum, std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(integer(key, minimum.count(), maximum.count(), fallback.count()));
}

std::vector<std::string> json_object_reader::strings(
    const std::string& key, std::size_t maximumCount, std::size_t maximumLength)
{
    std::vector<std::string> texts;
    const auto expected = fmt::format("a list of at most {} texts", maximumCount);
    const auto* value = find(key, false, expected);
    if (value == nullptr) {
        return texts;
    }
    if (!value->isArray() || value->size() > maximumCount) {
        fault(key, got(expected, *value));
        return texts;
    }
    for (Json::ArrayIndex i = 0; i < value->size(); ++i) {
        const auto& element = (*value)[i];
        if (!element.isString() || element.asString().size() > maximumLength) {
            fault(fmt::format("{}[{}]", key, i), got(textExpectation(0, maximumLength), element));
            continue;
        }
        texts.push_back(element.asString());
    }
    return texts;
}

void json_object_reader::objects(
    const std::string& key, std::size_t maximumCount, const std::function<void(json_object_reader&)>& visit)
{
    const auto expected = fmt::format("a list of at most {} objects", maximumCount);
    const auto* value = find(key, false, expected);
    if (value == nullptr) {
        return;
    }
    if (!value->isArray() || value->size() > maximumCount) {
        fault(key, got(expected, *value));
        return;
    }
    for (Json::ArrayIndex i = 0; i < value->size(); ++i) {
        json_object_reader element((*value)[i], fmt::format("{}.{}[{}]", m_path, key, i), m_faults);
        visit(element);
        element.finish();
    }
}

void json_object_reader::object(const std::string& key, const std::function<void(json_object_reader&)>& visit)
{
    const auto* value = find(key, false, "an object");
    if (value == nullptr) {
        return;
    }
    json_object_reader member(*value, pathOf(key), m_faults);
    visit(member);
    member.finish();
}

void json_object_reader::finish()
{
    if (m_allowsUnknown) {
        return;
    }
    if (!m_object.isObject()) {
        return;
    }
    for (const auto& name : m_object.getMemberNames()) {
        if (!m_known.contains(name)) {
            fault(name, "unknown field");
        }
    }
}

std::string describe(const std::vector<json_fault>& faults)
{
    std::string text;
    for (const auto& fault : faults) {
        text += fault.path + ": " + fault.message + "\n";
    }
    return text;
}

} // namespace cuminledge
