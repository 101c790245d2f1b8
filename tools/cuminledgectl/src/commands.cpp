#include <ctl/commands.hpp>

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <ostream>
#include <sstream>
#include <utility>

#include <base/digest.hpp>
#include <base/json.hpp>
#include <core/manifest/manifest.hpp>
#include <ctl/output.hpp>
#include <ctl/process_dump.hpp>

namespace cuminledge::ctl {

namespace {

    constexpr std::size_t keyIdBytes = 8;
    constexpr std::size_t secretBytes = 24;
    constexpr std::size_t saltBytes = 16;

    /// What every command works with.
    struct context {
        const options& opts;
        const call_environment& environment;
        std::ostream& out;
        std::ostream& errors;
        const std::vector<std::string>& arguments; ///< the words behind the command's name
    };

    //--------------------------------------------------------------------------------------------------------------
    // Output
    //--------------------------------------------------------------------------------------------------------------

    void print(context& c, const Json::Value& value)
    {
        if (c.opts.output == output_format::Json) {
            c.out << writeJson(value) << '\n';
        } else {
            c.out << formatTable(value);
        }
    }

    void printProblem(context& c, const Json::Value& problem)
    {
        if (c.opts.output == output_format::Json) {
            c.errors << writeJson(problem) << '\n';
            return;
        }
        c.errors << "cuminledgectl: " << problem["code"].asString() << ": " << problem["message"].asString();
        if (problem["detail"].isString() && !problem["detail"].asString().empty()) {
            c.errors << " (" << problem["detail"].asString() << ")";
        }
        c.errors << '\n';
        for (const auto& fault : problem["faults"]) {
            c.errors << fault["path"].asString() << ": " << fault["message"].asString() << '\n';
        }
    }

    int exitStatusOf(call_outcome outcome)
    {
        switch (outcome) {
        case call_outcome::Done:
            return exitDone;
        case call_outcome::Refused:
            return exitRefused;
        case call_outcome::Unknown:
            return exitUnknown;
        }
        return exitUnknown;
    }

    int call(context& c, const std::string& method, const Json::Value& parameters)
    {
        const auto answer = callLeader(c.environment, c.opts.controllers, method, parameters);
        if (answer.outcome == call_outcome::Done) {
            print(c, answer.body);
        } else {
            printProblem(c, answer.body);
        }
        return exitStatusOf(answer.outcome);
    }

    int refuse(context& c, const std::string& code, const std::string& message)
    {
        Json::Value problem(Json::objectValue);
        problem["code"] = code;
        problem["message"] = message;
        printProblem(c, problem);
        return exitRefused;
    }

    //--------------------------------------------------------------------------------------------------------------
    // Manifest
    //--------------------------------------------------------------------------------------------------------------

    std::optional<std::string> readFile(const std::string& file)
    {
        std::ifstream stream(file, std::ios::binary);
        if (!stream) {
            return std::nullopt;
        }
        std::ostringstream text;
        text << stream.rdbuf();
        return text.str();
    }

    int validateManifest(context& c)
    {
        const auto document = readFile(c.arguments[0]);
        if (!document) {
            return refuse(c, "not_found", "cannot read " + c.arguments[0]);
        }
        const auto parsed = core::manifest::parseManifest(*document);
        if (!parsed) {
            Json::Value problem(Json::objectValue);
            problem["code"] = "invalid_argument";
            problem["message"] = c.arguments[0] + " has faults";
            for (const auto& fault : parsed.error()) {
                Json::Value entry;
                entry["path"] = fault.path;
                entry["message"] = fault.message;
                problem["faults"].append(entry);
            }
            printProblem(c, problem);
            return exitRefused;
        }
        Json::Value body;
        body["number"] = static_cast<Json::UInt64>(parsed->number);
        body["digest"] = sha256Hex(*document);
        print(c, body);
        return exitDone;
    }

    int acceptManifest(context& c)
    {
        const auto document = readFile(c.arguments[0]);
        if (!document) {
            return refuse(c, "not_found", "cannot read " + c.arguments[0]);
        }
        Json::Value parameters;
        parameters["document"] = *document;
        return call(c, "manifest.accept", parameters);
    }

    int showManifest(context& c)
    {
        const auto answer = callLeader(c.environment, c.opts.controllers, "manifest.show", Json::objectValue);
        if (answer.outcome != call_outcome::Done) {
            printProblem(c, answer.body);
            return exitStatusOf(answer.outcome);
        }
        if (c.opts.output == output_format::Json) {
            print(c, answer.body);
        } else {
            c.out << answer.body["document"].asString() << '\n';
        }
        return exitDone;
    }

    //--------------------------------------------------------------------------------------------------------------
    // Keys
    //--------------------------------------------------------------------------------------------------------------

    /// The secret is made here and stays here: only its salted hash is sent. Sending again sends the same key.
    int issueKey(context& c)
    {
        const auto id = randomHex(keyIdBytes);
        const auto secret = randomHex(secretBytes);
        Json::Value parameters;
        parameters["key"] = id;
        parameters["account"] = c.arguments[0];
        parameters["salt"] = randomHex(saltBytes);
        parameters["hash"] = sha256Hex(parameters["salt"].asString() + secret);
        const auto answer = callLeader(c.environment, c.opts.controllers, "key.issue", parameters);
        if (answer.outcome == call_outcome::Refused) {
            printProblem(c, answer.body);
            return exitRefused;
        }
        if (answer.outcome == call_outcome::Unknown) {
            auto problem = answer.body;
            problem["detail"] = "key id " + id + " may be in force; withdraw it and issue another";
            printProblem(c, problem);
            return exitUnknown;
        }
        Json::Value body;
        body["key"] = id + "." + secret;
        body["key_id"] = id;
        body["account"] = c.arguments[0];
        print(c, body);
        return exitDone;
    }

    //--------------------------------------------------------------------------------------------------------------
    // Status: every controller is asked, as each knows only the groups that it leads
    //--------------------------------------------------------------------------------------------------------------

    std::string namesOf(const Json::Value& replicas, bool learners)
    {
        std::string names;
        for (const auto& replica : replicas) {
            if (replica["learner"].asBool() == learners) {
                names += (names.empty() ? "" : ",") + replica["replica"].asString();
            }
        }
        return names;
    }

    std::string joined(const Json::Value& texts)
    {
        std::string all;
        for (const auto& text : texts) {
            all += (all.empty() ? "" : ",") + text.asString();
        }
        return all;
    }

    Json::Value describeGroup(const Json::Value& group, const std::string& controller)
    {
        Json::Value row;
        row["group"] = group["group"];
        row["leader"] = controller;
        row["term"] = group["term"];
        row["commit_index"] = group["commit_index"];
        row["members"] = namesOf(group["replicas"], false);
        row["learners"] = namesOf(group["replicas"], true);
        row["survives_loss"] = group["survives_loss"];
        return row;
    }

    /// Takes in the groups that the controller leads. Of two that claim to lead, the later term is right.
    void collectGroups(const Json::Value& status, std::map<unsigned, Json::Value>& groups)
    {
        for (const auto& group : status["groups"]) {
            auto& row = groups[group["group"].asUInt()];
            const bool isNewer = row.isNull() || row["term"].asUInt64() < group["term"].asUInt64();
            if (group["may_read"].asBool() && isNewer) {
                row = describeGroup(group, status["controller"].asString());
            }
        }
    }

    Json::Value askStatus(context& c, const std::string& address, std::map<unsigned, Json::Value>& groups)
    {
        Json::Value row;
        row["address"] = address;
        row["controller"] = "";
        row["state"] = "unreachable";
        row["evacuated_domains"] = "";
        const auto answer = c.environment.call(address, "status", "{}");
        const auto body = parseJson(answer.body, "status");
        if (answer.status == net::rpc_status::Ok && body && body->isObject()) {
            row["controller"] = (*body)["controller"];
            row["state"] = "up";
            row["evacuated_domains"] = joined((*body)["evacuated_domains"]);
            collectGroups(*body, groups);
        }
        return row;
    }

    int showStatus(context& c)
    {
        std::map<unsigned, Json::Value> groups;
        Json::Value body;
        body["controllers"] = Json::arrayValue;
        body["groups"] = Json::arrayValue;
        for (const auto& address : c.opts.controllers) {
            body["controllers"].append(askStatus(c, address, groups));
        }
        bool allLed = !groups.empty();
        bool survivesLoss = allLed;
        for (auto& [number, row] : groups) {
            if (row.isNull()) {
                row["group"] = number;
                row["leader"] = "";
            }
            allLed = allLed && !row["leader"].asString().empty();
            survivesLoss = survivesLoss && row["survives_loss"].asBool();
            body["groups"].append(row);
        }
        body["survives_loss"] = survivesLoss;
        print(c, body);
        return allLed ? exitDone : exitRefused;
    }

    int dumpProcess(context& c)
    {
        const auto dump = fetchDump(c.arguments[0], c.opts.timeout);
        if (!dump) {
            return refuse(c, toString(dump.error().code), describe(dump.error()));
        }
        c.out << *dump << '\n';
        return exitDone;
    }

    //--------------------------------------------------------------------------------------------------------------
    // Commands that are one call
    //--------------------------------------------------------------------------------------------------------------

    Json::Value parameter(const std::string& name, const std::string& value)
    {
        Json::Value parameters(Json::objectValue);
        parameters[name] = value;
        return parameters;
    }

    int listKeys(context& c)
    {
        const auto parameters = c.arguments.empty() ? Json::Value(Json::objectValue) : parameter("account", c.arguments[0]);
        return call(c, "key.list", parameters);
    }

    int showCall(context& c)
    {
        auto parameters = parameter("account", c.arguments[0]);
        parameters["call"] = c.arguments[1];
        return call(c, "call.show", parameters);
    }

    int orderDrain(context& c, bool draining)
    {
        auto parameters = parameter("backend", c.arguments[0]);
        parameters["draining"] = draining;
        return call(c, "backend.drain", parameters);
    }

    int orderEvacuation(context& c, bool evacuated)
    {
        auto parameters = parameter("domain", c.arguments[0]);
        parameters["evacuated"] = evacuated;
        return call(c, "domain.evacuate", parameters);
    }

    using command_function = int (*)(context&);

    struct command {
        std::vector<std::string> name;
        std::size_t minimumArguments;
        std::size_t maximumArguments;
        command_function run;
    };

    const std::vector<command>& commands()
    {
        static const std::vector<command> all = {
            { { "manifest", "validate" }, 1, 1, validateManifest },
            { { "manifest", "accept" }, 1, 1, acceptManifest },
            { { "manifest", "show" }, 0, 0, showManifest },
            { { "key", "issue" }, 1, 1, issueKey },
            { { "key", "withdraw" }, 1, 1,
                [](context& c) { return call(c, "key.withdraw", parameter("key", c.arguments[0])); } },
            { { "key", "list" }, 0, 1, listKeys },
            { { "account", "show" }, 1, 1,
                [](context& c) { return call(c, "account.show", parameter("account", c.arguments[0])); } },
            { { "program", "show" }, 1, 1,
                [](context& c) { return call(c, "program.show", parameter("program", c.arguments[0])); } },
            { { "call", "show" }, 2, 2, showCall },
            { { "backend", "list" }, 0, 0, [](context& c) { return call(c, "backend.list", Json::objectValue); } },
            { { "backend", "drain" }, 1, 1, [](context& c) { return orderDrain(c, true); } },
            { { "backend", "undrain" }, 1, 1, [](context& c) { return orderDrain(c, false); } },
            { { "domain", "evacuate" }, 1, 1, [](context& c) { return orderEvacuation(c, true); } },
            { { "domain", "restore" }, 1, 1, [](context& c) { return orderEvacuation(c, false); } },
            { { "quarantine", "list" }, 0, 0, [](context& c) { return call(c, "quarantine.list", Json::objectValue); } },
            { { "quarantine", "lift" }, 1, 1,
                [](context& c) { return call(c, "quarantine.lift", parameter("fingerprint", c.arguments[0])); } },
            { { "status" }, 0, 0, showStatus },
            { { "dump" }, 1, 1, dumpProcess },
        };
        return all;
    }

    bool isNamed(const command& candidate, const std::vector<std::string>& words)
    {
        return words.size() >= candidate.name.size()
            && std::equal(candidate.name.begin(), candidate.name.end(), words.begin());
    }

} // namespace

int runCommand(const options& opts, const call_environment& environment, std::ostream& out, std::ostream& errors)
{
    const auto& words = opts.command;
    const auto found = std::find_if(commands().begin(), commands().end(),
        [&words](const command& candidate) { return isNamed(candidate, words); });
    if (found == commands().end()) {
        errors << "cuminledgectl: unknown command; see --help\n";
        return exitUsage;
    }
    const auto nameWords = static_cast<std::ptrdiff_t>(found->name.size());
    const std::vector<std::string> arguments(words.begin() + nameWords, words.end());
    if (arguments.size() < found->minimumArguments || arguments.size() > found->maximumArguments) {
        errors << "cuminledgectl: wrong number of arguments; see --help\n";
        return exitUsage;
    }
    context c { opts, environment, out, errors, arguments };
    return found->run(c);
}

} // namespace cuminledge::ctl
