#pragma once

#include <functional>
#include <string>

#include <base/error.hpp>
#include <core/effect.hpp>
#include <core/event.hpp>
#include <net/http_client.hpp>
#include <net/http_message.hpp>

namespace cuminledge::host {

/**
 * The form in which a deployment's callers, backend servers and operators speak HTTP with forwarding gateways and their
 * controllers. Every function translates, and decides nothing. A program hands one to its process.
 */
struct external_interface {
    /// @return a forward_request; or what is wrong, which the caller is told as a refusal.
    std::function<result<core::event>(net::http_request&&)> decodeCaller;

    std::function<net::http_reply(const core::refuse_caller&)> encodeRefusal;

    std::function<net::client_request(core::forward_upstream&&)> encodeUpstream;

    std::function<core::upstream_head(const std::string& request, net::response_head&&)> decodeUpstream;

    /// @return one of the control events; or what is wrong, which the sender is told as control_outcome::Invalid, or
    ///         control_outcome::NotFound where the error's code says so.
    std::function<result<core::event>(net::http_request&&)> decodeControl;

    /// @param target of the request that is answered.
    std::function<net::http_reply(const core::reply_to_control&, const std::string& target)> encodeControl;
};

} // namespace cuminledge::host
