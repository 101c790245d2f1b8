#include <host/settings.hpp>

#include <fstream>
#include <sstream>
#include <vector>

#include <base/json.hpp>

namespace cuminledge::host {

namespace {

    constexpr std::size_t maxNameBytes = 64;
    constexpr std::size_t maxAddressBytes = 64;
    constexpr std::size_t maxPathBytes = 4096;
    constexpr std::size_t minSecretBytes = 16;
    constexpr std::size_t maxSecretBytes = 1024;

    result<std::string> readFile(const std::string& file, const std::string& step)
    {
        std::ifstream stream(file, std::ios::binary);
        if (!stream) {
            return failure(error_code::NotFound, "cannot open " + file, step);
        }
        std::ostringstream text;
        text << stream.rdbuf();
        return text.str();
    }

    log_level readLevel(json_object_reader& reader)
    {
        const auto name = reader.string("log_level", 1, 16, "info");
        for (const auto level : { log_level::Debug, log_level::Info, log_level::Warning, log_level::Error }) {
            if (name == toString(level)) {
                return level;
            }
        }
        reader.fault("log_level", "expected debug, info, warning or error, got " + name);
        return log_level::Info;
    }

    /// @return whether the text is "IP:PORT" with a port from 0 to 65535; 0 lets the system choose.
    bool isAddress(const std::string& text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string::npos || colon == 0 || colon + 1 == text.size() || text.size() - colon > 6) {
            return false;
        }
        const auto port = text.substr(colon + 1);
        return port.find_first_not_of("0123456789") == std::string::npos && std::stoi(port) <= 65535;
    }

    std::string readAddress(json_object_reader& reader, const std::string& key)
    {
        auto address = reader.string(key, 3, maxAddressBytes);
        if (!address.empty() && !isAddress(address)) {
            reader.fault(key, "expected IP:PORT, got " + address);
        }
        return address;
    }

    std::string readSecret(json_object_reader& reader)
    {
        if (!reader.has("secret_file")) {
            return reader.string("secret", minSecretBytes, maxSecretBytes);
        }
        auto text = readFile(reader.string("secret_file", 1, maxPathBytes), "read_secret");
        if (!text) {
            reader.fault("secret_file", text.error().message);
            return {};
        }
        while (!text->empty() && (text->back() == '\n' || text->back() == '\r')) {
            text->pop_back();
        }
        if (text->size() < minSecretBytes || text->size() > maxSecretBytes) {
            reader.fault("secret_file", "expected a secret of 16 to 1024 bytes");
        }
        return *text;
    }

    /// @return bytes; 0 where the member is missing.
    std::size_t readMegabytes(json_object_reader& reader, const std::string& key)
    {
        constexpr std::int64_t maxMegabytes = 1 << 24;
        return static_cast<std::size_t>(reader.integer(key, 0, maxMegabytes, 0)) << 20U;
    }

    process_settings readProcess(json_object_reader& reader, process_role role)
    {
        process_settings settings;
        settings.role = role;
        settings.identity.name = reader.string("name", 1, maxNameBytes);
        settings.identity.region = reader.string("region", 1, maxNameBytes);
        settings.identity.failureDomain = reader.string("failure_domain", 1, maxNameBytes);
        settings.level = readLevel(reader);
        settings.secret = readSecret(reader);
        settings.peerAddress = readAddress(reader, "peer_address");
        settings.adminAddress = readAddress(reader, "admin_address");
        settings.readinessPath = reader.string("readiness_path", 1, maxPathBytes, settings.readinessPath);
        settings.connectTimeout = reader.milliseconds("connect_timeout_ms", std::chrono::milliseconds(10),
            std::chrono::milliseconds(60'000), settings.connectTimeout);
        settings.tickInterval = reader.milliseconds(
            "tick_ms", std::chrono::milliseconds(1), std::chrono::milliseconds(1'000), settings.tickInterval);
        settings.traceFile = reader.string("trace_file", 1, maxPathBytes, "");
        settings.memoryLimitBytes = readMegabytes(reader, "memory_limit_mb");
        settings.diskLimitBytes = readMegabytes(reader, "disk_limit_mb");
        if (role == process_role::Gateway) {
            settings.callerAddress = readAddress(reader, "caller_address");
            settings.maxBodyBytes = static_cast<std::size_t>(
                reader.integer("max_body_bytes", 1024, 64 << 20, static_cast<std::int64_t>(settings.maxBodyBytes)));
            settings.maxRequestBytes = static_cast<std::size_t>(reader.integer(
                "max_request_bytes", 1 << 20, 1LL << 40, static_cast<std::int64_t>(settings.maxRequestBytes)));
            settings.maxConnections
                = static_cast<std::uint32_t>(reader.integer("max_connections", 1, 1000000, settings.maxConnections));
        }
        if (role == process_role::Controller) {
            if (reader.has("operator_address") || !reader.has("control_address")) {
                settings.operatorAddress = readAddress(reader, "operator_address");
            }
            if (reader.has("control_address")) {
                settings.controlAddress = readAddress(reader, "control_address");
            }
            settings.dataFolder = reader.string("data_folder", 1, maxPathBytes);
        }
        return settings;
    }

    void readRole(json_object_reader& reader, process_role role, core::node& node)
    {
        if (role == process_role::Gateway && reader.has("forwarder")) {
            reader.object("forwarder", [&node](json_object_reader& member) {
                node.forwarder = std::make_unique<core::forward::forwarder_state>();
                node.forwarder->settings = core::forward::readSettings(member);
            });
            return;
        }
        if (!reader.has(toString(role))) {
            reader.fault(toString(role), "missing: expected an object");
        }
        reader.object(toString(role), [role, &node](json_object_reader& member) {
            switch (role) {
            case process_role::Gateway:
                node.gateway = std::make_unique<core::gateway::gateway_state>();
                node.gateway->settings = core::gateway::readSettings(member);
                break;
            case process_role::Sidecar:
                node.sidecar = std::make_unique<core::sidecar::sidecar_state>();
                node.sidecar->settings = core::sidecar::readSettings(member);
                break;
            case process_role::Controller:
                node.controller = std::make_unique<core::controller::controller_state>();
                node.controller->settings = core::controller::readSettings(member);
                break;
            }
        });
    }

} // namespace

const char* toString(process_role role)
{
    switch (role) {
    case process_role::Gateway:
        return "gateway";
    case process_role::Sidecar:
        return "sidecar";
    case process_role::Controller:
        return "controller";
    }
    return "gateway";
}

result<loaded_settings> readSettings(const Json::Value& document, const std::string& name, process_role role)
{
    std::vector<json_fault> faults;
    json_object_reader reader(document, "$", faults);
    loaded_settings loaded;
    loaded.process = readProcess(reader, role);
    readRole(reader, role, loaded.node);
    reader.finish();
    if (!faults.empty()) {
        return failure(error_code::InvalidArgument, name + ":\n" + describe(faults), "read_settings");
    }
    loaded.node.identity = loaded.process.identity;
    return loaded;
}

result<loaded_settings> loadSettings(const std::string& file, process_role role)
{
    const auto text = readFile(file, "read_settings");
    if (!text) {
        return tl::unexpected(text.error());
    }
    const auto document = parseJson(*text, "read_settings");
    if (!document) {
        return failure(document.error().code, file + ": " + document.error().message, "read_settings");
    }
    auto loaded = readSettings(*document, file, role);
    if (loaded) {
        loaded->process.settingsFile = file;
    }
    return loaded;
}

} // namespace cuminledge::host
