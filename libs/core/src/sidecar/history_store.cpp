#include <core/sidecar/history_store.hpp>

#include <utility>

namespace cuminledge::core::sidecar {

namespace {

    void touch(history_store& store, const std::string& key, program_history& history)
    {
        store.byUse.erase(history.lastUse);
        history.lastUse = ++store.useCount;
        store.byUse[history.lastUse] = key;
    }

    void evict(history_store& store, const std::string& kept)
    {
        while (store.bytes > store.maxBytes && !store.byUse.empty()) {
            const auto oldest = store.byUse.begin()->second;
            if (oldest == kept) {
                return; // used last, so nothing else is left
            }
            forgetProgram(store, oldest);
            ++store.evictions;
        }
    }

    /// @return the members of a JSON list, without its brackets.
    std::string_view membersOf(std::string_view list)
    {
        return list.size() < 2 ? std::string_view() : list.substr(1, list.size() - 2);
    }

    void append(std::string& messages, std::string_view members)
    {
        if (members.empty()) {
            return;
        }
        if (messages.size() > 1) {
            messages += ',';
        }
        messages += members;
    }

} // namespace

std::string historyKey(const std::string& account, const std::string& program)
{
    return account + "\n" + program;
}

std::uint32_t heldTurns(const history_store& store, const std::string& key)
{
    const auto found = store.programs.find(key);
    return found == store.programs.end() ? 0 : static_cast<std::uint32_t>(found->second.turns.size());
}

void addTurn(history_store& store, const std::string& key, std::uint32_t turn, history_text text)
{
    if (turn != heldTurns(store, key) + 1) {
        return;
    }
    auto& history = store.programs[key];
    const auto size = text.delta.size() + text.answer.size();
    history.turns.push_back(std::move(text));
    history.bytes += size;
    store.bytes += size;
    touch(store, key, history);
    evict(store, key);
}

std::string joinMessages(
    history_store& store, const std::string& key, std::uint32_t turns, const std::string& newMessages)
{
    std::string messages = "[";
    const auto found = store.programs.find(key);
    if (found != store.programs.end()) {
        touch(store, key, found->second);
        for (std::uint32_t i = 0; i < turns && i < found->second.turns.size(); ++i) {
            append(messages, membersOf(found->second.turns[i].delta));
            append(messages, found->second.turns[i].answer);
        }
    }
    append(messages, membersOf(newMessages));
    messages += ']';
    return messages;
}

void forgetProgramOfAnyAccount(history_store& store, const std::string& program)
{
    const auto suffix = historyKey("", program);
    std::vector<std::string> keys;
    for (const auto& [key, history] : store.programs) {
        if (key.ends_with(suffix)) {
            keys.push_back(key);
        }
    }
    for (const auto& key : keys) {
        forgetProgram(store, key);
    }
}

void forgetProgram(history_store& store, const std::string& key)
{
    const auto found = store.programs.find(key);
    if (found == store.programs.end()) {
        return;
    }
    store.bytes -= found->second.bytes;
    store.byUse.erase(found->second.lastUse);
    store.programs.erase(found);
}

} // namespace cuminledge::core::sidecar
