#include <net/rpc_client.hpp>

#include <memory>
#include <utility>

#include <json/reader.h>
#include <json/writer.h>
#include <jsonrpccpp/client/client.h>

#include "rpc_post.hpp"

namespace cuminledge {
namespace net {

    namespace {

        /// Carries one call of libjsonrpccpp's client over HTTP, and keeps how far it got.
        class post_connector final : public jsonrpc::IClientConnector {
        public:
            post_connector(std::string address, std::chrono::milliseconds timeout)
                : m_address(std::move(address))
                , m_timeout(timeout)
            {
            }

            void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override
            {
                m_outcome = postOnce(m_address, "/rpc", message, m_timeout);
                if (!m_outcome.answered) {
                    throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, m_outcome.problem);
                }
                result = m_outcome.body;
            }

            const post_outcome& outcome() const { return m_outcome; }

        private:
            std::string m_address;
            std::chrono::milliseconds m_timeout;
            post_outcome m_outcome;
        };

        std::string writeLine(const Json::Value& value)
        {
            Json::StreamWriterBuilder builder;
            builder["indentation"] = "";
            builder["emitUTF8"] = true;
            return Json::writeString(builder, value);
        }

        bool isServersError(const jsonrpc::JsonRpcException& e)
        {
            return e.GetCode() != jsonrpc::Errors::ERROR_CLIENT_CONNECTOR
                && e.GetCode() != jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
        }

    } // namespace

    rpc_answer callRpc(const std::string& address, const std::string& method, const std::string& parameters,
        std::chrono::milliseconds timeout)
    {
        rpc_answer answer;
        Json::Value input;
        Json::CharReaderBuilder builder;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        if (!reader->parse(parameters.data(), parameters.data() + parameters.size(), &input, &answer.message)) {
            answer.status = rpc_status::NotSent;
            return answer;
        }
        post_connector connector(address, timeout);
        try {
            jsonrpc::Client client(connector);
            answer.body = writeLine(client.CallMethod(method, input));
            answer.status = rpc_status::Ok;
        } catch (const jsonrpc::JsonRpcException& e) {
            answer.code = e.GetCode();
            answer.message = e.GetMessage();
            answer.body = writeLine(e.GetData());
            const bool refused = connector.outcome().answered && isServersError(e);
            const auto unanswered = connector.outcome().sent ? rpc_status::Unknown : rpc_status::NotSent;
            answer.status = refused ? rpc_status::Refused : unanswered;
        } catch (const std::exception& e) {
            answer.message = e.what(); // an answer that is no JSON-RPC
        }
        return answer;
    }

} // namespace net
} // namespace cuminledge
