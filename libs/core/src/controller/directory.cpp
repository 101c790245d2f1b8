#include <controller/internal.hpp>

#include <algorithm>
#include <utility>

#include <core/consensus/consensus.hpp>
#include <core/group.hpp>

namespace cuminledge::core::controller {

namespace {

    bool contains(const std::vector<std::string>& names, const std::string& name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

    /// Every controller listens for operators on the same port, so the seeds tell it for all.
    std::string operatorAddressOf(const controller_settings& settings, const std::string& peerAddress)
    {
        const auto& seed = settings.controllers.front().operatorAddress;
        return peerAddress.substr(0, peerAddress.rfind(':')) + seed.substr(seed.rfind(':'));
    }

    void connectTo(reduction& r, const controller_member& member)
    {
        if (member.name != r.self.name) {
            r.out.emplace_back(connect_peer { member.name, member.address });
        }
    }

    bool isSeed(const reduction& r, const std::string& name)
    {
        const auto& seeds = r.state.settings.controllers;
        return std::any_of(
            seeds.begin(), seeds.end(), [&name](const controller_member& seed) { return seed.name == name; });
    }

    /// Forgets controllers that were removed. One that is still connected may be about to join, and stays.
    void forgetAllBut(reduction& r, const std::vector<std::string>& names)
    {
        std::erase_if(r.state.directory.controllers, [&](const controller_member& member) {
            const bool stays = member.name == r.self.name || isSeed(r, member.name) || contains(names, member.name)
                || r.state.peerRoles.contains(member.name);
            if (!stays) {
                log(r, log_level::Info, "controller_forgotten", { { "peer", member.name } });
                r.out.emplace_back(disconnect_peer { member.name });
                for (auto& [number, group] : r.state.groups) {
                    group.replica.contacts.erase(member.name);
                }
            }
            return !stays;
        });
    }

    void adopt(reduction& r, std::uint64_t index, const std::vector<std::string>& names)
    {
        r.state.directory.index = index;
        for (const auto& name : names) {
            learnController(r, name);
        }
        forgetAllBut(r, names);
        for (const auto& [peer, role] : r.state.peerRoles) {
            sendDirectory(r, peer);
        }
    }

    std::vector<std::string> controllersOf(const wire::group_configuration& configuration)
    {
        std::vector<std::string> names;
        for (const auto* ids : { &configuration.members, &configuration.learners }) {
            for (const auto& id : *ids) {
                auto name = consensus::controllerOf(id);
                if (!contains(names, name)) {
                    names.push_back(std::move(name));
                }
            }
        }
        return names;
    }

} // namespace

const controller_member* findController(const controller_directory& directory, const std::string& name)
{
    const auto found = std::find_if(directory.controllers.begin(), directory.controllers.end(),
        [&name](const controller_member& member) { return member.name == name; });
    return found == directory.controllers.end() ? nullptr : &*found;
}

void startDirectory(reduction& r)
{
    r.state.directory.controllers = r.state.settings.controllers;
    for (const auto& member : r.state.directory.controllers) {
        connectTo(r, member);
    }
    if (r.state.settings.isSeeded && !r.state.isStandby) {
        learnController(r, r.self.name);
    }
}

void learnController(reduction& r, const std::string& name)
{
    if (findController(r.state.directory, name) == nullptr) {
        const controller_member member { name, name, operatorAddressOf(r.state.settings, name) };
        r.state.directory.controllers.push_back(member);
        log(r, log_level::Info, "controller_learned", { { "peer", name } });
        connectTo(r, member);
    }
    for (auto& [number, group] : r.state.groups) {
        consensus::addContact(group.replica, name);
    }
}

void followConfiguration(reduction& r, const hosted_group& group)
{
    if (!r.state.settings.isSeeded || group.replica.configurations.empty()) {
        return;
    }
    const auto names = controllersOf(consensus::configurationOf(group.replica));
    const auto index = group.replica.configurations.back().index;
    if (group.group != systemGroup) {
        for (const auto& name : names) {
            learnController(r, name);
        }
    } else if (index >= r.state.directory.index) {
        adopt(r, index, names); // while catching up, the log may be behind what another controller has told
    }
}

void receiveDirectory(reduction& r, const wire::controller_directory& update)
{
    if (r.state.settings.isSeeded && update.index > r.state.directory.index) {
        adopt(r, update.index, update.controllers);
    }
}

void sendDirectory(reduction& r, const std::string& peer)
{
    if (!r.state.settings.isSeeded || r.state.directory.index == 0) {
        return;
    }
    wire::controller_directory update;
    update.index = r.state.directory.index;
    for (const auto& member : r.state.directory.controllers) {
        update.controllers.push_back(member.name);
    }
    r.out.emplace_back(send_message { peer, std::move(update) });
}

} // namespace cuminledge::core::controller
