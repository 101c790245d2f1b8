#pragma once

#include <core/event.hpp>
#include <net/http_client.hpp>
#include <net/reachability.hpp>

/// Converts what the network library reports into the reducer's types.
namespace cuminledge::host {

inline core::upstream_phase toCore(net::request_phase phase)
{
    switch (phase) {
    case net::request_phase::NotSent:
        return core::upstream_phase::NotSent;
    case net::request_phase::Sent:
        return core::upstream_phase::Sent;
    case net::request_phase::Answering:
        return core::upstream_phase::Answering;
    }
    return core::upstream_phase::Sent;
}

inline core::server_reachability toCore(net::reachability found)
{
    switch (found) {
    case net::reachability::Accepts:
        return core::server_reachability::Accepts;
    case net::reachability::Refuses:
        return core::server_reachability::Refuses;
    case net::reachability::Unreachable:
        return core::server_reachability::Unreachable;
    }
    return core::server_reachability::Unreachable;
}

} // namespace cuminledge::host
