#include <standin_relay/relay_admin.hpp>

#include <utility>

#include <base/json.hpp>
#include <net/http_server.hpp>

namespace cuminledge::standin {

namespace {

    constexpr std::size_t maxRelays = 256;
    constexpr std::size_t maxAddressBytes = 64;

    Json::Value toJson(const relay_connection& connection)
    {
        Json::Value value(Json::objectValue);
        value["connection"] = Json::UInt64(connection.id);
        value["to_server"] = connection.flow.toServer;
        value["to_client"] = connection.flow.toClient;
        value["bytes_to_server"] = Json::UInt64(connection.bytesToServer);
        value["bytes_to_client"] = Json::UInt64(connection.bytesToClient);
        return value;
    }

} // namespace

result<relay_settings> readRelaySettings(const std::string& json)
{
    const auto document = parseJson(json, "read_settings");
    if (!document) {
        return tl::unexpected<error>(document.error());
    }
    std::vector<json_fault> faults;
    json_object_reader reader(*document, "$", faults);
    relay_settings settings;
    settings.listenAddress = reader.string("listen_address", 1, maxAddressBytes, settings.listenAddress);
    settings.name = reader.string("name", 1, 64, settings.name);
    reader.objects("relays", maxRelays, [&](json_object_reader& each) {
        relayed_address address;
        address.listenAddress = each.string("listen_address", 1, maxAddressBytes);
        address.serverAddress = each.string("server_address", 1, maxAddressBytes);
        settings.relays.push_back(std::move(address));
    });
    reader.finish();
    if (!faults.empty()) {
        return failure(error_code::InvalidArgument, describe(faults), "read_settings");
    }
    return settings;
}

class relay_admin::impl {
public:
    impl(boost::asio::io_context& context, const relay_settings& settings)
        : m_server(context, serverSettings(settings),
            { [this](net::http_request&& request) { onRequest(request); }, [](std::uint64_t, const std::string&) {} })
    {
        for (const auto& each : settings.relays) {
            m_relays.push_back(std::make_unique<relay>(context, each.listenAddress, each.serverAddress));
        }
    }

    result<std::uint16_t> listen()
    {
        for (const auto& each : m_relays) {
            auto port = each->listen();
            if (!port) {
                return port;
            }
            m_ports.push_back(*port);
        }
        return m_server.listen();
    }

    void closeListener() { m_server.closeListener(); }

private:
    static net::http_server_settings serverSettings(const relay_settings& settings)
    {
        net::http_server_settings server;
        server.address = settings.listenAddress;
        return server;
    }

    void onRequest(const net::http_request& request)
    {
        if (request.method == "GET" && request.target == "/connections") {
            m_server.reply(request.exchange, { 200, "application/json", {}, writeJson(listConnections()) });
        } else if (request.method == "POST" && (request.target == "/flow" || request.target == "/close")) {
            onOrder(request);
        } else {
            m_server.reply(request.exchange, net::makeProblem(404, "not_found", "no such resource"));
        }
    }

    void onOrder(const net::http_request& request)
    {
        const auto document = parseJson(request.body, "order");
        if (!document) {
            refuse(request, document.error().message);
            return;
        }
        std::vector<json_fault> faults;
        json_object_reader reader(*document, "$", faults);
        const auto number = static_cast<std::size_t>(reader.integer("relay", 0, maxRelays, 0));
        if (number >= m_relays.size()) {
            reader.fault("relay", "no such relay");
        } else if (request.target == "/close") {
            m_relays[number]->closeAll();
        } else {
            setFlow(*m_relays[number], reader, faults);
        }
        reader.finish();
        if (!faults.empty()) {
            refuse(request, describe(faults));
            return;
        }
        m_server.reply(request.exchange, { 200, "application/json", {}, "{}" });
    }

    static void setFlow(relay& ordered, json_object_reader& reader, const std::vector<json_fault>& faults)
    {
        const auto applyTo = reader.string("apply_to", 1, 8, "both");
        const auto connection = static_cast<std::uint64_t>(reader.integer("connection", 0, std::int64_t { 1 } << 62U, 0));
        const relay_flow flow { reader.boolean("to_server", true), reader.boolean("to_client", true) };
        if (!faults.empty()) {
            return;
        }
        if (applyTo == "all" || applyTo == "both") {
            ordered.setFlowOfAll(flow);
        }
        if (applyTo == "new" || applyTo == "both") {
            ordered.setFlowOfNew(flow);
        }
        if (applyTo == "one" && !ordered.setFlow(connection, flow)) {
            reader.fault("connection", "no such connection");
        }
        if (applyTo != "all" && applyTo != "both" && applyTo != "new" && applyTo != "one") {
            reader.fault("apply_to", "expected \"all\", \"new\", \"both\" or \"one\"");
        }
    }

    void refuse(const net::http_request& request, const std::string& detail)
    {
        m_server.reply(request.exchange, net::makeProblem(400, "invalid_argument", detail));
    }

    [[nodiscard]] Json::Value listConnections() const
    {
        Json::Value list(Json::arrayValue);
        for (std::size_t number = 0; number < m_relays.size(); ++number) {
            Json::Value entry(Json::objectValue);
            entry["relay"] = Json::UInt64(number);
            entry["port"] = number < m_ports.size() ? m_ports[number] : 0;
            entry["connections"] = Json::arrayValue;
            for (const auto& connection : m_relays[number]->connections()) {
                entry["connections"].append(toJson(connection));
            }
            list.append(std::move(entry));
        }
        return list;
    }

    std::vector<std::unique_ptr<relay>> m_relays;
    std::vector<std::uint16_t> m_ports;
    net::http_server m_server;
};

relay_admin::relay_admin(boost::asio::io_context& context, const relay_settings& settings)
    : m_impl(std::make_unique<impl>(context, settings))
{
}

relay_admin::~relay_admin() = default;

result<std::uint16_t> relay_admin::listen()
{
    return m_impl->listen();
}

void relay_admin::closeListener()
{
    m_impl->closeListener();
}

} // namespace cuminledge::standin
