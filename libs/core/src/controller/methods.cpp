#include <base/digest.hpp>
#include <controller/operators.hpp>
#include <core/group.hpp>

namespace cuminledge::core::controller {

namespace {

    constexpr std::size_t maxIdBytes = 256;

    /// Reads the parameters; with a fault the exchange is answered.
    class parameter_reader {
    public:
        parameter_reader(reduction& r, const operator_request& request, const Json::Value& parameters)
            : m_reduction(r)
            , m_exchange(request.exchange)
            , m_reader(parameters, "$", m_faults)
        {
        }

        std::string id(const std::string& key) { return m_reader.string(key, 1, maxIdBytes); }
        std::string optionalId(const std::string& key) { return m_reader.string(key, 0, maxIdBytes, ""); }
        std::string text(const std::string& key, std::size_t maximum) { return m_reader.string(key, 1, maximum); }
        bool boolean(const std::string& key, bool fallback) { return m_reader.boolean(key, fallback); }

        /// @return whether there was no fault. Call once, last.
        bool finish()
        {
            m_reader.finish();
            if (!m_faults.empty()) {
                replyFaults(m_reduction, m_exchange, m_faults);
            }
            return m_faults.empty();
        }

    private:
        reduction& m_reduction;
        exchange_id m_exchange;
        std::vector<json_fault> m_faults;
        json_object_reader m_reader;
    };

} // namespace

//------------------------------------------------------------------------------------------------------------------
// Manifest
//------------------------------------------------------------------------------------------------------------------

void validateManifest(reduction& r, const operator_request& request, const Json::Value& parameters)
{
    parameter_reader reader(r, request, parameters);
    const auto document = reader.text("document", manifest::maxManifestBytes);
    if (!reader.finish()) {
        return;
    }
    const auto parsed = manifest::parseManifest(document);
    if (!parsed) {
        replyFaults(r, request.exchange, parsed.error());
        return;
    }
    Json::Value body;
    body["number"] = static_cast<Json::UInt64>(parsed->number);
    body["digest"] = sha256Hex(document);
    replyOk(r, request.exchange, body);
}

void acceptManifest(reduction& r, const operator_request& request, const Json::Value& parameters)
{
    parameter_reader reader(r, request, parameters);
    const auto document = reader.text("document", manifest::maxManifestBytes);
    if (!reader.finish()) {
        return;
    }
    const auto parsed = manifest::parseManifest(document);
    if (!parsed) {
        replyFaults(r, request.exchange, parsed.error());
        return;
    }
    proposeForOperator(r, request, wire::accept_manifest { parsed->number, sha256Hex(document), document });
}

void showManifest(reduction& r, const operator_request& request, const Json::Value& parameters)
{
    parameter_reader reader(r, request, parameters);
    if (!reader.finish()) {
        return;
    }
    const auto& control = r.state.control;
    if (control.manifestNumber == 0) {
        replyError(r, request.exchange, error_code::NotFound, "no manifest has been accepted yet");
        return;
    }
    Json::Value body;
    body["number"] = static_cast<Json::UInt64>(control.manifestNumber);
    body["digest"] = control.manifestDigest;
    body["document"] = control.manifest;
    replyOk(r, request.exchange, body);
}

//------------------------------------------------------------------------------------------------------------------
// Keys and accounts
//------------------------------------------------------------------------------------------------------------------

void issueKey(reduction& r, const operator_request& request, const Json::Value& parameters)
{
    parameter_reader reader(r, request, parameters);
    wire::issue_key command;
    command.key = reader.id("key");
    command.account = reader.id("account");
    command.salt = reader.id("salt");
    command.hash = reader.id("hash");
    if (!reader.finish()) {
        return;
    }
    if (!r.state.manifest || manifest::findAccount(*r.state.manifest, command.account) == nullptr) {
        replyError(r, request.exchange, error_code::NotFound, "the manifest in force names no such client account");
        return;
    }
    proposeForOperator(r, request, command);
}

void withdrawKey(reduction& r, const operator_request& request, const Json::Value& parameters)
{
    parameter_reader reader(r, request, parameters);
    const auto key = reader.id("key");
    if (reader.finish()) {
        proposeForOperator(r, request, wire::withdraw_key { key });
    }
}

namespace {

    Json::Value describeKeys(const store::control_state& control, const std::string& account)
    {
        Json::Value keys(Json::arrayValue);
        for (const auto& [id, key] : control.keys) {
            if (!account.empty() && key.account != account) {
                continue;
            }
            Json::Value entry;
            entry["key"] = id;
            entry["account"] = key.account;
            entry["withdrawn"] = key.withdrawn;
            keys.append(entry);
        }
        return keys;
    }

    Json::Value describeAccount(const manifest::manifest& m, const manifest::client_account& account)
    {
        Json::Value body;
        body["account"] = account.id;
        body["rate_per_second"] = account.ratePerSecond;
        body["burst"] = static_cast<Json::Int64>(account.burst);
        body["weight"] = account.weight;
        body["budget_tokens"] = static_cast<Json::Int64>(account.budgetTokens);
        body["routes"] = Json::arrayValue;
        for (const auto& route : m.routes) {
            if (route.openToAll || manifest::contains(route.clientAccounts, account.id)) {
                body["routes"].append(route.name);
            }
        }
        body["services"] = Json::arrayValue;
        for (const auto& service : m.services) {
            if (manifest::contains(service.clientAccounts, account.id)) {
                body["services"].append(service.name);
            }
        }
        return body;
    }

} // namespace

void listKeys(reduction& r, const operator_request& request, const Json::Value& parameters)
{
    parameter_reader reader(r, request, parameters);
    const auto account = reader.optionalId("account");
    if (!reader.finish()) {
        return;
    }
    Json::Value body;
    body["keys"] = describeKeys(r.state.control, account);
    replyOk(r, request.exchange, body);
}

void showAccount(reduction& r, const operator_request& request, const Json::Value& parameters)
{
    parameter_reader reader(r, request, parameters);
    const auto id = reader.id("account");
    if (!reader.finish()) {
        return;
    }
    const auto* account = r.state.manifest ? manifest::findAccount(*r.state.manifest, id) : nullptr;
    if (account == nullptr) {
        replyError(r, request.exchange, error_code::NotFound, "the manifest in force names no such client account");
        return;
    }
    auto body = describeAccount(*r.state.manifest, *account);
    const auto group = groupOfAccount(id, r.state.settings.groupCount);
    body["keys"] = describeKeys(r.state.control, id);
    body["group"] = group;
    body["rate_authority"] = leaderOf(r.state, group);
    replyOk(r, request.exchange, body);
}

//------------------------------------------------------------------------------------------------------------------
// Programs and calls
//------------------------------------------------------------------------------------------------------------------

namespace {

    void answerRead(reduction& r, const operator_request& request, std::uint32_t groupNumber, const wire::query& query)
    {
        const auto* group = findGroup(r.state, groupNumber);
        if (group == nullptr || !mayServe(*group, r.now)) {
            replyNotLeader(r, request.exchange, groupNumber);
            return;
        }
        replyOutcome(r, request.exchange, store::query(group->shard, query));
    }

} // namespace

void showProgram(reduction& r, const operator_request& request, const Json::Value& parameters)
{
    parameter_reader reader(r, request, parameters);
    const auto program = reader.id("program");
    if (reader.finish()) {
        const auto group = groupOfProgram(program, r.state.settings.groupCount);
        answerRead(r, request, group, wire::read_program { program, "" });
    }
}

void showCall(reduction& r, const operator_request& request, const Json::Value& parameters)
{
    parameter_reader reader(r, request, parameters);
    const auto account = reader.id("account");
    const auto call = reader.id("call");
    if (reader.finish()) {
        const auto group = groupOfCall(account, call, r.state.settings.groupCount);
        answerRead(r, request, group, wire::read_call { account, call });
    }
}

//------------------------------------------------------------------------------------------------------------------
// Backend servers
//------------------------------------------------------------------------------------------------------------------

void listBackends(reduction& r, const operator_request& request, const Json::Value& parameters)
{
    parameter_reader reader(r, request, parameters);
    if (!reader.finish()) {
        return;
    }
    Json::Value body;
    body["complete"] = r.now >= r.state.members.completeAt;
    body["backends"] = Json::arrayValue;
    for (const auto& [id, backend] : r.state.members.backends) {
        auto entry = describeBackend(backend.record);
        const auto orderer = r.state.control.orderers.find(id);
        entry["fencing_number"] = static_cast<Json::UInt64>(
            orderer == r.state.control.orderers.end() ? 0 : orderer->second.number);
        body["backends"].append(entry);
    }
    replyOk(r, request.exchange, body);
}

void drainBackend(reduction& r, const operator_request& request, const Json::Value& parameters)
{
    parameter_reader reader(r, request, parameters);
    const auto backend = reader.id("backend");
    const auto draining = reader.boolean("draining", true);
    if (!reader.finish()) {
        return;
    }
    const bool isKnown = r.state.members.backends.contains(backend) || r.state.control.drains.contains(backend);
    if (!isKnown) {
        replyError(r, request.exchange, error_code::NotFound, "no such backend server is announced");
        return;
    }
    proposeForOperator(r, request, wire::drain_backend { backend, draining });
}

void evacuateDomain(reduction& r, const operator_request& request, const Json::Value& parameters)
{
    parameter_reader reader(r, request, parameters);
    const auto domain = reader.id("domain");
    const auto evacuated = reader.boolean("evacuated", true);
    if (!reader.finish()) {
        return;
    }
    if (!isFailureDomain(r.state, domain)) {
        replyError(r, request.exchange, error_code::NotFound, "no backend server is announced in such a failure domain");
        return;
    }
    proposeForOperator(r, request, wire::evacuate_domain { domain, evacuated });
}

//------------------------------------------------------------------------------------------------------------------
// Quarantine and status
//------------------------------------------------------------------------------------------------------------------

void listQuarantine(reduction& r, const operator_request& request, const Json::Value& parameters)
{
    parameter_reader reader(r, request, parameters);
    if (!reader.finish()) {
        return;
    }
    Json::Value body;
    body["fingerprints"] = Json::arrayValue;
    for (const auto& [fingerprint, crash] : r.state.control.crashes) {
        if (crash.cleared) {
            continue;
        }
        Json::Value entry;
        entry["fingerprint"] = fingerprint;
        entry["account"] = crash.account;
        entry["state"] = crash.quarantined ? "quarantined" : "suspect";
        entry["deaths"] = Json::arrayValue;
        for (const auto& [backend, incarnation] : crash.deaths) {
            entry["deaths"].append(backend);
        }
        body["fingerprints"].append(entry);
    }
    replyOk(r, request.exchange, body);
}

void liftQuarantine(reduction& r, const operator_request& request, const Json::Value& parameters)
{
    parameter_reader reader(r, request, parameters);
    const auto fingerprint = reader.id("fingerprint");
    if (reader.finish()) {
        proposeForOperator(r, request, wire::clear_fingerprint { fingerprint, true });
    }
}

void showStatus(reduction& r, const operator_request& request, const Json::Value& parameters)
{
    parameter_reader reader(r, request, parameters);
    if (!reader.finish()) {
        return;
    }
    Json::Value body;
    body["controller"] = r.self.name;
    body["manifest_number"] = static_cast<Json::UInt64>(r.state.control.manifestNumber);
    body["evacuated_domains"] = Json::arrayValue;
    for (const auto& domain : r.state.control.evacuatedDomains) {
        body["evacuated_domains"].append(domain);
    }
    body["groups"] = describeGroups(r.state, r.now);
    replyOk(r, request.exchange, body);
}

} // namespace cuminledge::core::controller
