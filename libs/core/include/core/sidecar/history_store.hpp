#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <wire/commands.hpp>

/// The texts of committed turns, kept beside the engine that cached them, so that gateways move only new messages.
namespace cuminledge::core::sidecar {

struct history_text {
    std::string delta; ///< JSON list of messages
    std::string answer; ///< JSON object, the assistant's message
};

struct program_history {
    std::vector<history_text> turns; ///< from turn 1, without gaps
    std::size_t bytes = 0;
    std::uint64_t lastUse = 0;
};

/// Bounded by bytes; the program used longest ago goes first. Holds only what is known to be committed.
struct history_store {
    std::size_t maxBytes = 0;
    std::size_t bytes = 0;
    std::uint64_t useCount = 0;
    std::unordered_map<std::string, program_history> programs; ///< by historyKey()
    std::map<std::uint64_t, std::string> byUse; ///< use counter to key, oldest first
    std::uint64_t evictions = 0;
    std::uint64_t reads = 0;
};

/// @return the key under which a program's texts are kept: two client accounts never share one.
std::string historyKey(const std::string& account, const std::string& program);

/// @return how many turns of the program are held here, from turn 1.
std::uint32_t heldTurns(const history_store& store, const std::string& key);

/// Adds a committed turn. One that is held already, or that would leave a gap, is ignored.
void addTurn(history_store& store, const std::string& key, std::uint32_t turn, history_text text);

/// @return the messages of the first `turns` turns and of the new ones, as one JSON list.
std::string joinMessages(
    history_store& store, const std::string& key, std::uint32_t turns, const std::string& newMessages);

/// Forgets the programs of that id, whosever they are.
void forgetProgramOfAnyAccount(history_store& store, const std::string& program);

/// Forgets a program.
void forgetProgram(history_store& store, const std::string& key);

} // namespace cuminledge::core::sidecar
