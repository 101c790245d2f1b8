#include <net/rpc_connector.hpp>

#include <optional>
#include <unordered_map>
#include <utility>

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <base/json.hpp>

namespace cuminledge::net {

namespace {

    /// Of the implementation-defined range of JSON-RPC 2.0; the details say which error it is. libjsonrpccpp gives
    /// -32000 a meaning of its own.
    constexpr int applicationError = -32050;

    const std::string emptyObject = "{}";

    /// A call that libjsonrpccpp has found valid.
    struct valid_call {
        std::string method;
        std::string parameters;
    };

    /// libjsonrpccpp answers at once, but operators' calls need a commit first. So its handler only checks the request,
    /// and this keeps the call.
    class call_keeper final : public jsonrpc::IProcedureInvokationHandler {
    public:
        std::optional<valid_call> kept;

        void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
        {
            kept = valid_call { procedure.GetProcedureName(), input.isNull() ? emptyObject : writeJson(input) };
            output = Json::nullValue;
        }

        void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override
        {
        }
    };

    Json::Value makeError(int code, const std::string& message, const Json::Value& id)
    {
        Json::Value body(Json::objectValue);
        body["jsonrpc"] = "2.0";
        body["error"]["code"] = code;
        body["error"]["message"] = message;
        body["id"] = id;
        return body;
    }

} // namespace

class rpc_connector::impl {
public:
    impl(rpc_connector& connector, boost::asio::io_context& context, http_server_settings settings,
        const std::vector<std::string>& methods, rpc_connector_handlers handlers)
        : m_connector(connector)
        , m_handlers(std::move(handlers))
        , m_checker(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, m_keeper))
        , m_server(context, std::move(settings),
              { [this](http_request&& request) { onRequest(request); },
                  [this](std::uint64_t exchange, const std::string&) { onGone(exchange); },
                  [this] { onDrained(); } })
    {
        for (const auto& method : methods) {
            m_checker->AddProcedure(
                jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
        }
        connector.SetHandler(m_checker.get());
    }

    http_server& server() { return m_server; }

    void answer(std::uint64_t exchange, Json::Value body)
    {
        const auto call = m_ids.extract(exchange);
        if (!call.empty()) {
            body["jsonrpc"] = "2.0";
            body["id"] = call.mapped();
            m_server.reply(exchange, { 200, "application/json", {}, writeJson(body) });
        }
    }

    /// Gets libjsonrpccpp's answer to a request. That of a valid call is dropped: the real one comes later.
    void onChecked(std::uint64_t exchange, const std::string& response)
    {
        const auto call = std::exchange(m_keeper.kept, std::nullopt);
        if (!call) {
            m_server.reply(exchange, { 200, "application/json", {}, response });
            return;
        }
        m_ids.emplace(exchange, m_id);
        m_handlers.onCall(exchange, call->method, call->parameters);
    }

private:
    void onRequest(const http_request& request)
    {
        if (request.target != "/rpc") {
            m_server.reply(request.exchange, makeProblem(404, "not_found", "operators' calls go to POST /rpc"));
            return;
        }
        if (request.method != "POST") {
            auto problem = makeProblem(405, "method_not_allowed", "operators' calls go to POST /rpc");
            problem.headers.emplace_back("Allow", "POST");
            m_server.reply(request.exchange, problem);
            return;
        }
        const auto document = parseJson(request.body, "read_call");
        if (!document) {
            refuse(request.exchange, jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR, document.error().message);
            return;
        }
        if (!document->isObject() || !document->isMember("id") || (*document)["id"].isNull()) {
            refuse(request.exchange, jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST, "expected one call, with an id");
            return;
        }
        if (document->isMember("params") && !(*document)["params"].isObject()) {
            refuse(request.exchange, jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, "expected params to be an object");
            return;
        }
        m_id = (*document)["id"];
        auto exchange = request.exchange;
        m_connector.OnRequest(request.body, &exchange);
    }

    void refuse(std::uint64_t exchange, int code, const std::string& message)
    {
        const auto body = makeError(code, message, Json::nullValue);
        m_server.reply(exchange, { 200, "application/json", {}, writeJson(body) });
    }

    void onDrained()
    {
        if (m_handlers.onDrained) {
            m_handlers.onDrained();
        }
    }

    void onGone(std::uint64_t exchange)
    {
        if (m_ids.erase(exchange) != 0) {
            m_handlers.onGone(exchange);
        }
    }

    rpc_connector& m_connector;
    rpc_connector_handlers m_handlers;
    call_keeper m_keeper;
    std::unique_ptr<jsonrpc::IProtocolHandler> m_checker;
    Json::Value m_id; ///< of the request that is being checked
    std::unordered_map<std::uint64_t, Json::Value> m_ids; ///< of the calls under way
    http_server m_server;
};

//------------------------------------------------------------------------------------------------------------------
// rpc_connector
//------------------------------------------------------------------------------------------------------------------

rpc_connector::rpc_connector(boost::asio::io_context& context, http_server_settings settings,
    const std::vector<std::string>& methods, rpc_connector_handlers handlers)
    : m_impl(std::make_unique<impl>(*this, context, std::move(settings), methods, std::move(handlers)))
{
}

rpc_connector::~rpc_connector() = default;

result<std::uint16_t> rpc_connector::listen()
{
    return m_impl->server().listen();
}

void rpc_connector::reply(std::uint64_t exchange, const std::string& result)
{
    auto value = parseJson(result, "reply");
    Json::Value body(Json::objectValue);
    body["result"] = value ? std::move(*value) : Json::Value(result);
    m_impl->answer(exchange, std::move(body));
}

void rpc_connector::replyError(std::uint64_t exchange, error_code code, const std::string& details)
{
    const auto data = parseJson(details, "reply");
    Json::Value body(Json::objectValue);
    body["error"]["code"] = applicationError;
    body["error"]["message"] = toString(code);
    body["error"]["data"] = data ? *data : Json::Value(details);
    m_impl->answer(exchange, std::move(body));
}

void rpc_connector::closeListener()
{
    m_impl->server().closeListener();
}

http_server_counts rpc_connector::counts() const
{
    return m_impl->server().counts();
}

bool rpc_connector::StartListening()
{
    return listen().has_value();
}

bool rpc_connector::StopListening()
{
    closeListener();
    return true;
}

bool rpc_connector::SendResponse(const std::string& response, void* addInfo)
{
    m_impl->onChecked(*static_cast<const std::uint64_t*>(addInfo), response);
    return true;
}

} // namespace cuminledge::net
