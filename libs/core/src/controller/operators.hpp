#pragma once

#include <string>
#include <vector>

#include <json/value.h>

#include <base/json.hpp>
#include <controller/internal.hpp>

/// The methods that operators call. Each answers its exchange once, now or when its command is committed.
namespace cuminledge::core::controller {

void replyOk(reduction& r, exchange_id exchange, const Json::Value& body);
void replyError(reduction& r, exchange_id exchange, error_code code, const std::string& message,
    Json::Value details = Json::objectValue);
void replyFaults(reduction& r, exchange_id exchange, const std::vector<json_fault>& faults);
void replyNotLeader(reduction& r, exchange_id exchange, std::uint32_t group);
void replyOutcome(reduction& r, exchange_id exchange, const wire::command_result& outcome);

/// Proposes a command of group 0 that answers the exchange when it is committed.
void proposeForOperator(reduction& r, const operator_request& request, const wire::command& command);

void validateManifest(reduction& r, const operator_request& request, const Json::Value& parameters);
void acceptManifest(reduction& r, const operator_request& request, const Json::Value& parameters);
void showManifest(reduction& r, const operator_request& request, const Json::Value& parameters);
void issueKey(reduction& r, const operator_request& request, const Json::Value& parameters);
void withdrawKey(reduction& r, const operator_request& request, const Json::Value& parameters);
void listKeys(reduction& r, const operator_request& request, const Json::Value& parameters);
void showAccount(reduction& r, const operator_request& request, const Json::Value& parameters);
void showProgram(reduction& r, const operator_request& request, const Json::Value& parameters);
void showCall(reduction& r, const operator_request& request, const Json::Value& parameters);
void listBackends(reduction& r, const operator_request& request, const Json::Value& parameters);
void evacuateDomain(reduction& r, const operator_request& request, const Json::Value& parameters);
void drainBackend(reduction& r, const operator_request& request, const Json::Value& parameters);
void listQuarantine(reduction& r, const operator_request& request, const Json::Value& parameters);
void liftQuarantine(reduction& r, const operator_request& request, const Json::Value& parameters);
void showStatus(reduction& r, const operator_request& request, const Json::Value& parameters);

} // namespace cuminledge::core::controller
